#include "ExitCode.h"

#include "base/ErrorKind.h"

namespace vanillayard {

ExitCode exitCodeOf(const absl::Status &Status) {
  if (Status.ok())
    return ExitCode::Ok;
  switch (errorKindOf(Status)) {
  case ErrorKind::Conflict:
    return ExitCode::Conflict;
  case ErrorKind::NoCapacity:
  case ErrorKind::NotReady:
  case ErrorKind::ShuttingDown:
  case ErrorKind::PlatformUnavailable:
  case ErrorKind::OutcomeUnknown:
  case ErrorKind::AnswerTruncated:
    return ExitCode::Unavailable;
  default:
    return ExitCode::Failure;
  }
}

} // namespace vanillayard
