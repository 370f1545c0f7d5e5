#ifndef VANILLAYARD_CLI_CLIOPTIONS_H
#define VANILLAYARD_CLI_CLIOPTIONS_H

#include "base/Ids.h"

#include "absl/time/time.h"

#include <functional>
#include <string>
#include <vector>

namespace vanillayard {

/// What the flags say, and where output goes.
struct CliOptions {
  using Sink = std::function<void(const std::string &Text)>;

  /// Admin addresses of entry hosts.
  std::vector<Endpoint> Admins;
  Endpoint Platform;
  /// Machine-readable output.
  bool Json = false;
  /// Time for one call of a host or of the platform.
  absl::Duration CallTimeout = absl::Seconds(5);
  /// Time for a change to be accepted, and then to be in force on every host.
  absl::Duration WaitLimit = absl::Seconds(30);
  /// Results.
  Sink Out;
  /// Progress and errors.
  Sink Err;
};

} // namespace vanillayard

#endif
