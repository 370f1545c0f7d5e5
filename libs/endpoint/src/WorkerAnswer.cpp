#include "WorkerAnswer.h"

#include "base/AbslView.h"
#include "base/Digest.h"
#include "base/ErrorKind.h"
#include "endpoint/WorkerCodec.h"

#include "absl/strings/numbers.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace vanillayard {

using namespace worker_codec;
using nlohmann::json;

static constexpr int FirstErrorStatus = 400;
static constexpr int ConflictStatus = 409;

static std::string stringField(const json &Object, const char *Name) {
  if (!Object.is_object())
    return "";
  auto Found = Object.find(Name);
  return Found != Object.end() && Found->is_string() ? Found->get<std::string>()
                                                     : "";
}

/// Maps an error answer to the errors of WorkerClient. Only a 409 with a known
/// reason proves that the worker did nothing.
static absl::Status answerError(const HttpResponse &Response) {
  json Problem = fromText(Response.Body);
  std::string Reason = stringField(Problem, "reason");
  std::string Detail = stringField(Problem, "detail");
  if (Response.Status == ConflictStatus) {
    if (Reason == "no_capacity" || Reason == "draining")
      return makeError(ErrorKind::NoCapacity, Detail);
    if (Reason == "revoked" || Reason == "conflict")
      return makeError(ErrorKind::Conflict, Detail);
  }
  if (Reason == "task_failed")
    return makeError(ErrorKind::TaskFailed, Detail);
  return makeError(ErrorKind::OutcomeUnknown,
                   fmt::format("the worker answered with HTTP status {}: {}",
                               Response.Status, Detail));
}

absl::Status checkAnswer(const HttpResponse &Response, const LeaseId *Lease) {
  std::string_view Digest = Response.Headers.get(DigestHeader);
  if (Digest.empty())
    return makeError(ErrorKind::OutcomeUnknown,
                     fmt::format("the answer with HTTP status {} has no digest",
                                 Response.Status));
  if (Digest != sha256Hex(Response.Body))
    return makeError(ErrorKind::AnswerMismatch,
                     "the answer does not match its digest");
  if (Lease && Response.Headers.get(LeaseHeader) != escape(Lease->str()))
    return makeError(ErrorKind::AnswerMismatch,
                     "the answer is for another lease");
  if (Response.Status >= FirstErrorStatus)
    return answerError(Response);
  return absl::OkStatus();
}

absl::StatusOr<TaskResult> readTaskResult(const LeaseId &Lease, bool MustFinish,
                                          HttpResponse Response) {
  std::optional<LeaseState> State =
      LeaseStateNames.parse(Response.Headers.get(StateHeader));
  if (!State)
    return makeError(ErrorKind::AnswerMismatch,
                     "the answer has no valid lease state");
  if (MustFinish && *State != LeaseState::Finished)
    return makeError(ErrorKind::OutcomeUnknown, "the task did not finish");
  TaskResult Result;
  Result.Lease = Lease;
  Result.State = *State;
  Result.Body = std::move(Response.Body);
  if (!absl::SimpleAtoi(abslView(Response.Headers.get(SlotsFreeHeader)),
                        &Result.FreeSlots))
    Result.FreeSlots = -1;
  return Result;
}

absl::StatusOr<RevokeResult> readRevokeResult(const HttpResponse &Response) {
  std::optional<RevokeResult> Result =
      RevokeResultNames.parse(stringField(fromText(Response.Body), "result"));
  if (!Result)
    return makeError(ErrorKind::AnswerMismatch,
                     "the answer has no valid result of the revocation");
  return *Result;
}

bool readLeaseIds(const json &Answer, const char *Name,
                  std::vector<LeaseId> &Ids) {
  if (!Answer.is_object())
    return false;
  auto Found = Answer.find(Name);
  if (Found == Answer.end() || !Found->is_array())
    return false;
  for (const json &Id : *Found) {
    if (!Id.is_string())
      return false;
    Ids.emplace_back(Id.get<std::string>());
  }
  return true;
}

} // namespace vanillayard
