#ifndef VANILLAYARD_STANDIN_PLATFORM_HOSTLISTSTATE_H
#define VANILLAYARD_STANDIN_PLATFORM_HOSTLISTSTATE_H

#include "base/Executor.h"

#include "absl/status/status.h"
#include "absl/time/time.h"

#include <deque>
#include <string>
#include <string_view>

namespace vanillayard {

/// The host list of the stand-in. It answers with the list as it was before
/// the lag.
class HostListState {
public:
  HostListState(const Executor &Exec, absl::Duration Lag);

  /// Replaces the list by the "hosts" array of \p Text. Error:
  /// InvalidArgument.
  absl::Status put(std::string_view Text);
  /// The document of GET /v1/hosts.
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
  /// In order of time; the first is the oldest that may still be answered.
  std::deque<Entry> Entries;
};

} // namespace vanillayard

#endif
