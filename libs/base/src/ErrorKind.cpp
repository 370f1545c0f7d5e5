#include "base/ErrorKind.h"

#include "base/AbslView.h"
#include "base/EnumNames.h"

#include "absl/strings/cord.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <array>
#include <cassert>
#include <string>

namespace vanillayard {

using Code = absl::StatusCode;

static constexpr std::array<ErrorKindInfo, 29> Table = {{
    {ErrorKind::InvalidRequest, "invalid_request", 400, Execution::NotRun,
     Code::kInvalidArgument, "The request is malformed"},
    {ErrorKind::UnknownKind, "unknown_kind", 400, Execution::NotRun,
     Code::kInvalidArgument, "The kind of work is not configured"},
    {ErrorKind::Unauthenticated, "unauthenticated", 401, Execution::NotRun,
     Code::kUnauthenticated, "The caller's key is not known"},
    {ErrorKind::UnknownAccount, "unknown_account", 403, Execution::NotRun,
     Code::kPermissionDenied, "The client account is not configured"},
    {ErrorKind::NotFound, "not_found", 404, Execution::NotRun, Code::kNotFound,
     "There is no such object"},
    {ErrorKind::RequestTimeout, "request_timeout", 408, Execution::NotRun,
     Code::kDeadlineExceeded, "The request was not received in time"},
    {ErrorKind::Conflict, "conflict", 409, Execution::NotRun, Code::kAborted,
     "Another change was made first"},
    {ErrorKind::InProgress, "in_progress", 409, Execution::MayHaveRun,
     Code::kAlreadyExists,
     "A request with this idempotency key is in progress"},
    {ErrorKind::Cancelled, "cancelled", 409, Execution::NotRun,
     Code::kCancelled, "The request was cancelled before it started"},
    {ErrorKind::CancelledRunning, "cancelled_running", 409,
     Execution::MayHaveRun, Code::kCancelled,
     "The request was cancelled after it was started"},
    {ErrorKind::Gone, "gone", 410, Execution::NotRun, Code::kNotFound,
     "There is no such job any more, or there never was"},
    {ErrorKind::PayloadTooLarge, "payload_too_large", 413, Execution::NotRun,
     Code::kInvalidArgument, "The body is larger than the limit"},
    {ErrorKind::NeverFits, "never_fits", 422, Execution::NotRun,
     Code::kFailedPrecondition, "No data centre can ever hold this job"},
    {ErrorKind::KeyReused, "key_reused", 422, Execution::NotRun,
     Code::kInvalidArgument,
     "The idempotency key was used for a different request"},
    {ErrorKind::RateLimited, "rate_limited", 429, Execution::NotRun,
     Code::kResourceExhausted, "The account or caller is over its limit"},
    {ErrorKind::HeadersTooLarge, "headers_too_large", 431, Execution::NotRun,
     Code::kInvalidArgument, "The headers are larger than the limit"},
    {ErrorKind::Internal, "internal", 500, Execution::MayHaveRun,
     Code::kInternal, "Internal error"},
    {ErrorKind::Unsupported, "unsupported", 501, Execution::NotRun,
     Code::kUnimplemented, "The request asks for what is not built yet"},
    {ErrorKind::TaskFailed, "task_failed", 502, Execution::Ran, Code::kUnknown,
     "The task ran and failed"},
    {ErrorKind::AnswerTruncated, "answer_truncated", 502, Execution::MayHaveRun,
     Code::kDataLoss, "The worker's answer was cut off"},
    {ErrorKind::AnswerMismatch, "answer_mismatch", 502, Execution::MayHaveRun,
     Code::kDataLoss, "The worker answered for another request"},
    {ErrorKind::NotReady, "not_ready", 503, Execution::NotRun,
     Code::kUnavailable, "This host has no configuration yet"},
    {ErrorKind::ShuttingDown, "shutting_down", 503, Execution::NotRun,
     Code::kUnavailable, "This host is shutting down"},
    {ErrorKind::PlatformUnavailable, "platform_unavailable", 503,
     Execution::NotRun, Code::kUnavailable,
     "The platform's key-value service does not answer"},
    {ErrorKind::NoCapacity, "no_capacity", 503, Execution::NotRun,
     Code::kUnavailable, "No worker has room"},
    {ErrorKind::QueueFull, "queue_full", 503, Execution::NotRun,
     Code::kResourceExhausted, "The queue is full"},
    {ErrorKind::DeadlineUnreachable, "deadline_unreachable", 503,
     Execution::NotRun, Code::kUnavailable,
     "The deadline cannot be met at the present load"},
    {ErrorKind::DeadlineExpired, "deadline_expired", 504, Execution::NotRun,
     Code::kDeadlineExceeded, "The deadline passed before the request started"},
    {ErrorKind::OutcomeUnknown, "outcome_unknown", 504, Execution::MayHaveRun,
     Code::kUnknown, "It is not known whether the request ran"},
}};

static constexpr EnumNames<Execution, 3>
    ExecutionNames({{{Execution::NotRun, "not_run"},
                     {Execution::MayHaveRun, "may_have_run"},
                     {Execution::Ran, "ran"}}});

static constexpr char KindPayload[] = "vanillayard/error-kind";
static constexpr char RetryAfterPayload[] = "vanillayard/retry-after-ms";

std::span<const ErrorKindInfo> errorKindTable() {
  return Table;
}

const ErrorKindInfo &errorKindInfo(ErrorKind Kind) {
  const ErrorKindInfo &Info = Table[static_cast<size_t>(Kind)];
  assert(Info.Kind == Kind && "the table is in the order of the enum");
  return Info;
}

std::string_view nameOf(Execution Value) {
  return ExecutionNames.nameOf(Value);
}

std::optional<ErrorKind> parseErrorKind(std::string_view Name) {
  for (const ErrorKindInfo &Info : Table)
    if (Info.Name == Name)
      return Info.Kind;
  return std::nullopt;
}

absl::Status makeError(ErrorKind Kind, std::string_view Detail,
                       absl::Duration RetryAfter) {
  const ErrorKindInfo &Info = errorKindInfo(Kind);
  absl::Status Status(Info.Code, abslView(Detail));
  Status.SetPayload(KindPayload, absl::Cord(abslView(Info.Name)));
  if (RetryAfter > absl::ZeroDuration())
    Status.SetPayload(
        RetryAfterPayload,
        absl::Cord(absl::StrCat(absl::ToInt64Milliseconds(RetryAfter))));
  return Status;
}

ErrorKind errorKindOf(const absl::Status &Status) {
  auto Payload = Status.GetPayload(KindPayload);
  if (!Payload)
    return ErrorKind::Internal;
  return parseErrorKind(std::string(*Payload)).value_or(ErrorKind::Internal);
}

absl::Duration retryAfterOf(const absl::Status &Status) {
  auto Payload = Status.GetPayload(RetryAfterPayload);
  int64_t Ms = 0;
  if (!Payload || !absl::SimpleAtoi(std::string(*Payload), &Ms))
    return absl::ZeroDuration();
  return absl::Milliseconds(Ms);
}

bool isProvablyNotRun(const absl::Status &Status) {
  return !Status.ok() && errorKindInfo(errorKindOf(Status)).RequestExecution ==
                             Execution::NotRun;
}

} // namespace vanillayard
