#ifndef VANILLAYARD_STANDIN_PLATFORM_HOSTLISTSTATE_H
#define VANILLAYARD_STANDIN_PLATFORM_HOSTLISTSTATE_H

#include "base/Executor.h"

#include "absl/status/status.h"
#include "absl/time/time.h"

#include <deque>
#include <string>
#include <string_view>

namespace vanillayard {

/// The host list of the stand-in. Reads return the list as it was one lag ago.
class HostListState {
public:
  HostListState(const Executor &Exec, absl::Duration Lag);

  /// Replaces the list by the "hosts" array of the JSON object \p Text.
  /// Error: InvalidArgument.
  absl::Status put(std::string_view Text);
  /// Returns the body of the answer to GET /v1/hosts.
  std::string get();

  void setLag(absl::Duration Value) { this->Lag = Value; }

private:
  struct Entry {
    absl::Time Since;
    /// JSON array.
    std::string Hosts;
  };

  const Executor &Exec;
  absl::Duration Lag;
  /// Oldest first; the first is the oldest that get() may still return.
  std::deque<Entry> Entries;
};

} // namespace vanillayard

#endif
