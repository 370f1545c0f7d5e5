#ifndef VANILLAYARD_CLI_EXITCODE_H
#define VANILLAYARD_CLI_EXITCODE_H

#include "absl/status/status.h"

namespace vanillayard {

/// Exit codes of the command line.
enum class ExitCode {
  Ok = 0,
  Failure = 1,
  Usage = 2,
  /// Another operator's change came first; nothing was overwritten.
  Conflict = 3,
  /// A host or the platform's service did not answer.
  Unavailable = 4,
};

ExitCode exitCodeOf(const absl::Status &Status);

} // namespace vanillayard

#endif
