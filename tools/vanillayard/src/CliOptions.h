#ifndef VANILLAYARD_CLI_CLIOPTIONS_H
#define VANILLAYARD_CLI_CLIOPTIONS_H

#include "base/Ids.h"

#include "absl/time/time.h"

#include <functional>
#include <string>
#include <vector>

namespace vanillayard {

/// Values of the command-line flags, and the sinks of the output.
struct CliOptions {
  using Sink = std::function<void(const std::string &Text)>;

  /// Admin addresses of entry hosts.
  std::vector<Endpoint> AdminAddresses;
  Endpoint Platform;
  /// Whether results are printed as JSON.
  bool Json = false;
  /// Timeout of one call to a host or to the platform's service.
  absl::Duration CallTimeout = absl::Seconds(5);
  /// Limit of each of two waits: until the store accepts a change, and then
  /// until the change is in force on every host.
  absl::Duration WaitLimit = absl::Seconds(30);
  /// Receives results.
  Sink Output;
  /// Receives progress messages and errors.
  Sink ErrorOutput;
};

} // namespace vanillayard

#endif
