#ifndef VANILLAYARD_CLI_EXITCODE_H
#define VANILLAYARD_CLI_EXITCODE_H

#include "absl/status/status.h"

namespace vanillayard {

/// Exit codes of the vanillayard command.
enum class ExitCode {
  Ok = 0,
  Failure = 1,
  Usage = 2,
  /// Another operator changed the configuration first; nothing was
  /// overwritten.
  Conflict = 3,
  /// A host or the platform's service did not answer or could not serve the
  /// call.
  Unavailable = 4,
};

ExitCode exitCodeOf(const absl::Status &Status);

} // namespace vanillayard

#endif
