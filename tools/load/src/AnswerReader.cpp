#include "load/AnswerReader.h"

#include "base/ErrorKind.h"
#include "standin_worker/TaskBody.h"

#include <nlohmann/json.hpp>

namespace vanillayard {

static constexpr int HttpOk = 200;
static constexpr int HttpAccepted = 202;
static constexpr int FirstServerError = 500;

static nlohmann::json parseObject(std::string_view Text) {
  nlohmann::json Parsed = nlohmann::json::parse(Text, nullptr, false);
  return Parsed.is_object() ? Parsed : nlohmann::json::object();
}

static std::string stringField(const nlohmann::json &Json, const char *Name) {
  auto Found = Json.find(Name);
  if (Found == Json.end() || !Found->is_string())
    return "";
  return Found->get<std::string>();
}

static Outcome readProblem(const HttpResponse &Answer) {
  nlohmann::json Json = parseObject(Answer.Body);
  std::string Kind = stringField(Json, "kind");
  std::string Execution = stringField(Json, "execution");
  std::optional<ErrorKind> Known = parseErrorKind(Kind);
  if (!Known || Execution.empty() ||
      errorKindInfo(*Known).HttpStatus != Answer.Status)
    return {Outcome::MalformedProblem, Execution, {}, {}};
  return {Kind, Execution, {}, {}};
}

static Outcome readTransportError(const absl::Status &Status) {
  if (errorKindOf(Status) == ErrorKind::NoCapacity)
    return {Outcome::NoConnection, "not_run", {}, {}};
  return {Outcome::ConnectionLost, "may_have_run", {}, {}};
}

static Outcome readResult(std::string_view Result, std::string_view Owner,
                          std::string_view SentBody) {
  if (TaskBody::isResultOf(Result, Owner, SentBody))
    return {Outcome::Ok, "ran", {}, {}};
  return {Outcome::WrongAnswer, "ran", {}, {}};
}

/// Checks the result of each member of a finished job. The host omits results
/// that are too large to keep.
static Outcome readResults(const nlohmann::json &Job, std::string_view Owner,
                           std::string_view SentBody) {
  Outcome Wrong = {Outcome::WrongAnswer, "ran", {}, {}};
  if (Job.value("results_omitted", nlohmann::json()) == true)
    return {Outcome::Ok, "ran", {}, {}};
  auto Results = Job.find("results");
  if (Results == Job.end() || !Results->is_array() ||
      nlohmann::json(Results->size()) != Job.value("gang_size", 1))
    return Wrong;
  for (const nlohmann::json &Result : *Results)
    if (!Result.is_string() ||
        !TaskBody::isResultOf(Result.get_ref<const std::string &>(), Owner,
                              SentBody))
      return Wrong;
  return {Outcome::Ok, "ran", {}, {}};
}

Outcome AnswerReader::readRequest(const absl::StatusOr<HttpResponse> &Answer,
                                  std::string_view SentBody) {
  if (!Answer.ok())
    return readTransportError(Answer.status());
  if (Answer->Status != HttpOk)
    return readProblem(*Answer);
  return readResult(Answer->Body, Answer->Headers.get("Vanillayard-Request-Id"),
                    SentBody);
}

absl::StatusOr<std::string>
AnswerReader::readSubmission(const absl::StatusOr<HttpResponse> &Answer,
                             Outcome &Refused) {
  if (!Answer.ok()) {
    Refused = readTransportError(Answer.status());
    return Answer.status();
  }
  std::string Id = stringField(parseObject(Answer->Body), "id");
  if ((Answer->Status == HttpAccepted || Answer->Status == HttpOk) &&
      !Id.empty())
    return Id;
  Refused = readProblem(*Answer);
  return absl::FailedPreconditionError(Refused.Name);
}

std::optional<Outcome>
AnswerReader::readJob(const absl::StatusOr<HttpResponse> &Answer,
                      std::string_view JobId, std::string_view SentBody) {
  if (!Answer.ok() || Answer->Status >= FirstServerError)
    return std::nullopt;
  if (Answer->Status != HttpOk)
    return readProblem(*Answer);
  nlohmann::json Json = parseObject(Answer->Body);
  std::string State = stringField(Json, "state");
  if (State == "finished")
    return readResults(Json, JobId, SentBody);
  if (State == "failed")
    return Outcome{"task_failed", "ran", {}, {}};
  for (const char *EndState :
       {"cancelled", "never_fits", "deadline_expired", "outcome_unknown"})
    if (State == EndState)
      return Outcome{State, stringField(Json, "execution"), {}, {}};
  return std::nullopt;
}

} // namespace vanillayard
