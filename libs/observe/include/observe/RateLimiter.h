#ifndef VANILLAYARD_OBSERVE_RATELIMITER_H
#define VANILLAYARD_OBSERVE_RATELIMITER_H

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace vanillayard {

/// Admits a bounded number of events for each key and window of time, and
/// counts the rest. Uses bounded memory for any number of keys.
class RateLimiter {
public:
  /// Keys beyond this many in use share one window.
  static constexpr size_t MaxKeys = 1024;

  RateLimiter(int PerWindow, absl::Duration Window)
      : PerWindow(PerWindow), Window(Window) {}

  /// \returns nothing if the event is over the limit, else the number of
  ///          events of this key that were refused since the last one admitted.
  std::optional<uint64_t> admit(std::string_view Key, absl::Time Now);

  /// Removes the keys whose window has ended and returns those that refused
  /// events, with their counts.
  std::vector<std::pair<std::string, uint64_t>> takeEnded(absl::Time Now);

private:
  struct State {
    absl::Time WindowStart;
    int Admitted = 0;
    uint64_t Refused = 0;
  };

  State &stateFor(std::string_view Key, absl::Time Now);

  int PerWindow;
  absl::Duration Window;
  absl::flat_hash_map<std::string, State> Keys;
  State Shared;
  absl::Time NextSweep = absl::InfinitePast();
};

} // namespace vanillayard

#endif
