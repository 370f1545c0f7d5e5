#include "endpoint/HttpWorkerClient.h"
#include "base/Digest.h"
#include "base/ErrorKind.h"
#include "base/VirtualExecutor.h"

#include <gtest/gtest.h>

#include <optional>

using namespace vanillayard;

namespace {

/// HttpClient that answers every call with the same preset response.
class CannedHttp final : public HttpClient {
public:
  explicit CannedHttp(Executor &Exec) : Exec(Exec) {}

  CallId send(const Endpoint &, HttpRequest, absl::Duration,
              ResponseCallback Done) override {
    this->Exec.post([this, Done = std::move(Done)] { Done(this->Answer); });
    return ++this->LastCall;
  }
  CallId stream(const Endpoint &, HttpRequest, ChunkCallback,
                EndCallback) override {
    return ++this->LastCall;
  }
  void cancel(CallId) override {}

  absl::StatusOr<HttpResponse> Answer = HttpResponse();

private:
  Executor &Exec;
  CallId LastCall = 0;
};

struct AnswerCase {
  const char *Name;
  int Status;
  std::string Lease;
  std::string State;
  std::string Body;
  bool WrongDigest;
  ErrorKind Expected;
};

} // namespace

// Guards against taking an answer for another lease, with a wrong digest or
// without a known reason as proof that nothing ran or as this task's result.
TEST(HttpWorkerClientTest, OnlyValidAnswersForTheLeaseAreAccepted) {
  const std::string Refusal = R"({"reason":"no_capacity"})";
  const AnswerCase Cases[] = {
      {"other lease", 200, "m", "finished", "r", false,
       ErrorKind::AnswerMismatch},
      {"no echo", 200, "", "finished", "r", false, ErrorKind::AnswerMismatch},
      {"changed body", 200, "l", "finished", "r", true,
       ErrorKind::AnswerMismatch},
      {"no state", 200, "l", "", "r", false, ErrorKind::AnswerMismatch},
      {"unfinished", 200, "l", "running", "", false, ErrorKind::OutcomeUnknown},
      {"refusal", 409, "l", "", Refusal, false, ErrorKind::NoCapacity},
      {"draining", 409, "l", "", R"({"reason":"draining"})", false,
       ErrorKind::NoCapacity},
      {"revoked", 409, "l", "", R"({"reason":"revoked"})", false,
       ErrorKind::Conflict},
      {"refusal of another lease", 409, "m", "", Refusal, false,
       ErrorKind::AnswerMismatch},
      {"refusal with a wrong digest", 409, "l", "", Refusal, true,
       ErrorKind::AnswerMismatch},
      {"unknown reason", 409, "l", "", "{}", false, ErrorKind::OutcomeUnknown},
      {"refusal with another status", 503, "l", "", Refusal, false,
       ErrorKind::OutcomeUnknown},
      {"failed task", 502, "l", "", R"({"reason":"task_failed"})", false,
       ErrorKind::TaskFailed},
  };
  VirtualExecutor Exec;
  CannedHttp Http(Exec);
  HttpWorkerClient Client(Http, Exec);
  LeaseRequest Request;
  Request.Lease = LeaseId("l");
  for (const AnswerCase &Case : Cases) {
    HttpResponse Answer{Case.Status, {}, Case.Body};
    Answer.Headers.add("vanillayard-lease", Case.Lease);
    Answer.Headers.add("vanillayard-state", Case.State);
    Answer.Headers.add("vanillayard-digest",
                       sha256Hex(Case.WrongDigest ? "other" : Case.Body));
    Http.Answer = Answer;
    std::optional<absl::StatusOr<TaskResult>> Result;
    Client.run(Endpoint("10.0.0.1:80"), Request, "body", absl::Seconds(1),
               [&](auto Answered) { Result = std::move(Answered); });
    Exec.runReady();
    ASSERT_TRUE(Result) << Case.Name;
    EXPECT_EQ(errorKindOf(Result->status()), Case.Expected) << Case.Name;
  }
}

// Guards against trusting a refusal from another program at the worker's
// address, such as a proxy, which proves nothing about the worker.
TEST(HttpWorkerClientTest, ForeignAnswersAndTransportErrors) {
  VirtualExecutor Exec;
  CannedHttp Http(Exec);
  HttpWorkerClient Client(Http, Exec);
  const std::pair<absl::StatusOr<HttpResponse>, ErrorKind> Cases[] = {
      {HttpResponse{409, {}, R"({"reason":"no_capacity"})"},
       ErrorKind::OutcomeUnknown},
      {HttpResponse{200, {}, "{}"}, ErrorKind::OutcomeUnknown},
      {makeError(ErrorKind::NoCapacity, ""), ErrorKind::NoCapacity},
      {makeError(ErrorKind::AnswerTruncated, ""), ErrorKind::AnswerTruncated},
      {makeError(ErrorKind::PayloadTooLarge, ""), ErrorKind::AnswerTruncated},
      {makeError(ErrorKind::OutcomeUnknown, ""), ErrorKind::OutcomeUnknown},
      {absl::InternalError(""), ErrorKind::OutcomeUnknown},
  };
  for (const auto &[Answer, Expected] : Cases) {
    Http.Answer = Answer;
    std::optional<absl::Status> Result;
    Client.revoke(Endpoint("10.0.0.1:80"), LeaseId("l"),
                  [&](const auto &Answered) { Result = Answered.status(); });
    Exec.runReady();
    ASSERT_TRUE(Result);
    EXPECT_EQ(errorKindOf(*Result), Expected) << *Result;
  }
}
