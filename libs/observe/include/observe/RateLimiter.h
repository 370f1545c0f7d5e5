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

/// Admits at most PerWindow events of each key in a time window and counts the
/// refused ones. Its memory is bounded for any number of keys.
class RateLimiter {
public:
  /// Further keys share one window and one limit.
  static constexpr size_t MaxKeys = 1024;

  RateLimiter(int PerWindow, absl::Duration Window)
      : PerWindow(PerWindow), Window(Window) {}

  /// Admits or refuses an event.
  ///
  /// \returns nothing if the event is over the limit, else the number of
  ///          events of this key refused since the last admitted one.
  std::optional<uint64_t> admit(std::string_view Key, absl::Time Now);

  /// Removes the keys whose window has ended and returns those with refused
  /// events, with the number of these events.
  std::vector<std::pair<std::string, uint64_t>>
  takeEndedWindows(absl::Time Now);

private:
  struct State {
    absl::Time WindowStart;
    int Admitted = 0;
    uint64_t Refused = 0;
  };

  State &stateFor(std::string_view Key, absl::Time Now);

  int PerWindow;
  absl::Duration Window;
  absl::flat_hash_map<std::string, State> States;
  State Shared;
  absl::Time NextSweep = absl::InfinitePast();
};

} // namespace vanillayard

#endif
