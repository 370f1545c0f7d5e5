#ifndef VANILLAYARD_BASE_ERRORKIND_H
#define VANILLAYARD_BASE_ERRORKIND_H

#include "absl/status/status.h"
#include "absl/time/time.h"

#include <optional>
#include <span>
#include <string_view>

namespace vanillayard {

/// Every error that this system returns to a caller, an operator or another
/// host. The list is closed; errorKindTable() holds the response for each.
enum class ErrorKind {
  InvalidRequest,
  UnknownKind,
  Unauthenticated,
  UnknownAccount,
  NotFound,
  RequestTimeout,
  Conflict,
  InProgress,
  Cancelled,
  CancelledRunning,
  Gone,
  PayloadTooLarge,
  NeverFits,
  KeyReused,
  RateLimited,
  HeadersTooLarge,
  Internal,
  Unsupported,
  TaskFailed,
  AnswerTruncated,
  AnswerMismatch,
  NotReady,
  ShuttingDown,
  PlatformUnavailable,
  NoCapacity,
  QueueFull,
  DeadlineUnreachable,
  DeadlineExpired,
  OutcomeUnknown,
};

/// Whether the request that failed was executed.
enum class Execution { NotRun, MayHaveRun, Ran };

/// Properties of one kind of error: a row of errorKindTable().
struct ErrorKindInfo {
  ErrorKind Kind;
  /// Name on the wire, such as "queue_full".
  std::string_view Name;
  int HttpStatus;
  Execution RequestExecution;
  absl::StatusCode Code;
  std::string_view Title;
};

/// All rows, in the order of ErrorKind.
std::span<const ErrorKindInfo> errorKindTable();
const ErrorKindInfo &errorKindInfo(ErrorKind Kind);
std::string_view nameOf(Execution Value);
std::optional<ErrorKind> parseErrorKind(std::string_view Name);

/// Makes a status that carries \p Kind as payload.
/// \param Detail what went wrong, for the caller to read.
/// \param RetryAfter when a retry may succeed; zero if no hint can be given.
absl::Status makeError(ErrorKind Kind, std::string_view Detail,
                       absl::Duration RetryAfter = absl::ZeroDuration());

/// Returns the kind that makeError() stored. For any other status returns
/// Internal, whose execution is MayHaveRun.
ErrorKind errorKindOf(const absl::Status &Status);

/// Returns the retry hint given to makeError(), or zero.
absl::Duration retryAfterOf(const absl::Status &Status);

/// Returns true only if \p Status is an error whose row in errorKindTable()
/// says that the request did not run.
bool isProvablyNotRun(const absl::Status &Status);

} // namespace vanillayard

#endif
