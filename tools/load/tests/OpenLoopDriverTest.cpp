#include "load/OpenLoopDriver.h"

#include "base/ErrorKind.h"
#include "base/VirtualExecutor.h"
#include "load/Recorder.h"
#include "net/H2oHttpClient.h"
#include "net/HttpServer.h"
#include "net/LoopExecutor.h"
#include "standin_worker/TaskBody.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <set>

using namespace vanillayard;

namespace {

/// Runs timers only at multiples of 100 ms, to simulate a driver that is short
/// of processor time.
class CoarseExecutor final : public Executor {
public:
  static constexpr absl::Duration Tick = absl::Milliseconds(100);

  explicit CoarseExecutor(Executor &Exec) : Exec(Exec) {}
  absl::Time now() const override { return this->Exec.now(); }
  void post(std::function<void()> Work) override { this->Exec.post(Work); }
  TimerId runAfter(absl::Duration Delay, std::function<void()> Work) override {
    absl::Duration Due = this->now() - absl::UnixEpoch() + Delay;
    return this->Exec.runAfter(
        absl::Ceil(Due, Tick) - (this->now() - absl::UnixEpoch()), Work);
  }
  void cancel(TimerId Timer) override { this->Exec.cancel(Timer); }

private:
  Executor &Exec;
};

/// Answers each call after a delay with what Answer returns.
class FakeHttpClient final : public HttpClient {
public:
  explicit FakeHttpClient(VirtualExecutor &Exec) : Exec(Exec) {}

  CallId send(const Endpoint &To, HttpRequest Request, absl::Duration,
              ResponseCallback Done) override {
    this->Targets.push_back(To.str());
    this->Sent.push_back(Request);
    this->SentAt.push_back(this->Exec.now());
    return this->Exec.runAfter(
        this->Delay,
        [Done, Result = this->Answer(To, Request)] { Done(Result); });
  }
  CallId stream(const Endpoint &, HttpRequest, ChunkCallback,
                EndCallback) override {
    return 0;
  }
  void cancel(CallId Call) override { this->Exec.cancel(Call); }

  absl::Duration Delay = absl::Milliseconds(10);
  std::function<absl::StatusOr<HttpResponse>(const Endpoint &,
                                             const HttpRequest &)>
      Answer;
  std::vector<std::string> Targets;
  std::vector<HttpRequest> Sent;
  std::vector<absl::Time> SentAt;

private:
  VirtualExecutor &Exec;
};

} // namespace

static HttpResponse resultOf(std::string_view Owner, std::string_view Body) {
  HttpResponse Response;
  Response.Headers.add("Vanillayard-Request-Id", std::string(Owner));
  Response.Body = TaskBody::parse(Body, {}).result(Owner, Body);
  return Response;
}

static HttpResponse problem(ErrorKind Kind) {
  const ErrorKindInfo &Row = errorKindInfo(Kind);
  nlohmann::json Json = {{"kind", Row.Name},
                         {"execution", nameOf(Row.RequestExecution)}};
  return {Row.HttpStatus, {}, Json.dump()};
}

static LoadStream steadyStream(double Rate) {
  LoadStream Stream;
  Stream.Name = "callers";
  Stream.Kind = KindOfWorkId("price-check");
  Stream.Account = ClientAccountId("acme");
  Stream.Callers = {{CallerId("one"), 1}};
  Stream.RatePerSecond = Rate;
  return Stream;
}

namespace {

class OpenLoopDriverTest : public ::testing::Test {
protected:
  OpenLoopDriverTest() : Client(Exec) {
    this->Client.Answer = [](const Endpoint &, const HttpRequest &Request) {
      return resultOf("r1", Request.Body);
    };
  }

  /// Runs a stream for 10 s of virtual time, and the drain time after it.
  void run(LoadStream Stream, size_t MaxInFlight = 1000) {
    auto Load = Workload::Builder().stream(std::move(Stream)).build();
    ASSERT_TRUE(Load.ok()) << Load.status();
    this->Planned = Load->requests();
    auto Built = OpenLoopDriver::Builder(*this->DriverExec, this->Client)
                     .hosts({Endpoint("h1"), Endpoint("h2"), Endpoint("h3")})
                     .workload(*std::move(Load))
                     .recorder(this->Records)
                     .maxInFlight(MaxInFlight)
                     .build();
    ASSERT_TRUE(Built.ok()) << Built.status();
    this->Driver = *std::move(Built);
    this->StartedAt = this->Exec.now();
    this->Driver->start([this] { ++this->Finished; });
    this->Exec.advance(absl::Minutes(2));
    EXPECT_EQ(this->Finished, 1);
    EXPECT_EQ(this->Records.total().Sent, this->Planned.size());
  }

  VirtualExecutor Exec;
  Executor *DriverExec = &Exec;
  FakeHttpClient Client;
  Recorder Records;
  std::unique_ptr<OpenLoopDriver> Driver;
  std::vector<PlannedRequest> Planned;
  absl::Time StartedAt;
  int Finished = 0;
};

} // namespace

// Guards against a closed loop, in which slow answers delay later requests and
// so hide the queueing time that they cause.
TEST_F(OpenLoopDriverTest, SlowAnswersDoNotDelayTheSchedule) {
  this->Client.Delay = absl::Seconds(20);
  this->run(steadyStream(50));
  ASSERT_EQ(this->Client.SentAt.size(), this->Planned.size());
  for (size_t I = 0; I < this->Planned.size(); ++I)
    EXPECT_EQ(this->Client.SentAt[I] - this->StartedAt,
              this->Planned[I].ScheduledTime);
  EXPECT_DOUBLE_EQ(this->Records.total().Latency.quantile(0.5), 20);
}

// Guards against measuring latency from the send time, which would hide the
// delay of a driver that sends late.
TEST_F(OpenLoopDriverTest, LatencyCountsFromTheScheduledTime) {
  CoarseExecutor Coarse(this->Exec);
  this->DriverExec = &Coarse;
  this->run(steadyStream(100));
  double DelaySeconds = absl::ToDoubleSeconds(this->Client.Delay);
  const SampleSet &Latency = this->Records.total().Latency;
  EXPECT_GT(Latency.max(), DelaySeconds + 0.09);
  EXPECT_NEAR(Latency.mean(), DelaySeconds + 0.05, 0.01);
  EXPECT_GT(this->Driver->worstSendDelay(), absl::Milliseconds(90));
  this->Driver.reset();
}

TEST_F(OpenLoopDriverTest, SpreadsRequestsOverHostsInTurn) {
  this->run(steadyStream(50));
  for (size_t I = 3; I < this->Client.Targets.size(); ++I)
    EXPECT_EQ(this->Client.Targets[I], this->Client.Targets[I - 3]);
  EXPECT_NE(this->Client.Targets[0], this->Client.Targets[1]);
  std::set<std::string> Bodies;
  for (const HttpRequest &Request : this->Client.Sent)
    Bodies.insert(Request.Body);
  EXPECT_EQ(Bodies.size(), this->Planned.size());
}

// Guards against a driver that does not notice the answer to another request
// (docs/design.md, promise G3).
TEST_F(OpenLoopDriverTest, AnswersToOtherRequestsAreCounted) {
  std::string Previous = TaskBody::make(absl::Seconds(1), "other");
  int Number = 0;
  this->Client.Answer = [&](const Endpoint &, const HttpRequest &Request) {
    std::string Body = ++Number % 10 == 0 ? Previous : Request.Body;
    Previous = Request.Body;
    return resultOf("r", Body);
  };
  this->run(steadyStream(50));
  EXPECT_EQ(this->Records.wrongAnswers(), this->Planned.size() / 10);
  EXPECT_EQ(this->Records.total().succeeded(),
            this->Planned.size() - this->Planned.size() / 10);
}

TEST_F(OpenLoopDriverTest, ClassifiesFailures) {
  struct Case {
    absl::StatusOr<HttpResponse> Answer;
    std::pair<std::string, std::string> Expected;
  };
  HttpResponse WrongStatus = problem(ErrorKind::QueueFull);
  WrongStatus.Status = 500;
  HttpResponse WrongOwner = resultOf("someone", "{}");
  const Case Cases[] = {
      {problem(ErrorKind::QueueFull), {"queue_full", "not_run"}},
      {problem(ErrorKind::OutcomeUnknown), {"outcome_unknown", "may_have_run"}},
      {WrongStatus, {Outcome::MalformedProblem, "not_run"}},
      {HttpResponse{503, {}, "busy"}, {Outcome::MalformedProblem, ""}},
      {WrongOwner, {Outcome::WrongAnswer, "ran"}},
      {makeError(ErrorKind::NoCapacity, "x"),
       {Outcome::NoConnection, "not_run"}},
      {makeError(ErrorKind::OutcomeUnknown, "x"),
       {Outcome::ConnectionLost, "may_have_run"}},
      {makeError(ErrorKind::AnswerTruncated, "x"),
       {Outcome::ConnectionLost, "may_have_run"}},
  };
  for (const Case &C : Cases) {
    this->Records = Recorder();
    this->Finished = 0;
    this->Client.Answer = [&](const Endpoint &, const HttpRequest &) {
      return C.Answer;
    };
    this->run(steadyStream(2));
    EXPECT_EQ(this->Records.total().Outcomes.at(C.Expected),
              this->Planned.size())
        << C.Expected.first;
  }
}

TEST_F(OpenLoopDriverTest, RefusedConnectionGoesToTheNextHost) {
  this->Client.Answer =
      [](const Endpoint &To,
         const HttpRequest &Request) -> absl::StatusOr<HttpResponse> {
    if (To.str() != "h2")
      return makeError(ErrorKind::NoCapacity, "refused");
    return resultOf("r", Request.Body);
  };
  this->run(steadyStream(5));
  EXPECT_EQ(this->Records.total().succeeded(), this->Planned.size());
}

TEST_F(OpenLoopDriverTest, RequestsInFlightAreBounded) {
  this->Client.Delay = absl::Hours(1);
  this->run(steadyStream(50), /*MaxInFlight=*/7);
  EXPECT_EQ(this->Client.Sent.size(), 7U);
  EXPECT_EQ(this->Records.total().countOf(Outcome::Unfinished), 7U);
  EXPECT_EQ(this->Records.total().countOf(Outcome::NotSent),
            this->Planned.size() - 7);
}

// Guards against a driver that, after the loss of one answer, counts the job as
// lost or submits it under a second idempotency key.
TEST_F(OpenLoopDriverTest, JobIsSubmittedUnderOneKeyAndPolledToItsEnd) {
  std::map<std::string, int> Submissions;
  std::map<std::string, std::string> Bodies;
  std::map<std::string, int> Polls;
  this->Client.Answer =
      [&](const Endpoint &,
          const HttpRequest &Request) -> absl::StatusOr<HttpResponse> {
    if (Request.Method == "POST") {
      std::string Key(Request.Headers.get("Idempotency-Key"));
      if (++Submissions[Key] == 1)
        return makeError(ErrorKind::OutcomeUnknown, "answer lost");
      nlohmann::json Json = nlohmann::json::parse(Request.Body, nullptr, false);
      EXPECT_EQ(Json["gang_size"], 4);
      EXPECT_EQ(Json["declared_run_time_ms"], 1000);
      Bodies["job-" + Key] = Json["body"];
      return HttpResponse{202, {}, R"({"id":"job-)" + Key + R"("})"};
    }
    std::string Id = Request.Path.substr(std::string("/v1/jobs/").size());
    if (++Polls[Id] == 1)
      return HttpResponse{200, {}, R"({"state":"running"})"};
    if (Polls[Id] == 2)
      return makeError(ErrorKind::OutcomeUnknown, "connection lost");
    std::string Result = TaskBody::parse(Bodies[Id], {}).result(Id, Bodies[Id]);
    nlohmann::json Json = {{"state", "finished"},
                           {"gang_size", 4},
                           {"results", {Result, Result, Result, Result}}};
    // The answer lacks the result of one member, so it is a wrong answer.
    if (Id == "job-run-0")
      Json["results"].erase(3);
    return HttpResponse{200, {}, Json.dump()};
  };
  LoadStream Stream = steadyStream(5);
  Stream.IsJob = true;
  Stream.Job.GangSizes = {4};
  Stream.Job.DeclaredRunTimeFactor = 10;
  this->run(Stream);
  EXPECT_EQ(this->Records.total().succeeded(), this->Planned.size() - 1);
  EXPECT_EQ(this->Records.wrongAnswers(), 1U);
  EXPECT_EQ(Submissions.size(), this->Planned.size());
  for (const auto &[Key, Number] : Submissions)
    EXPECT_EQ(Number, 2) << Key;
}

TEST(OpenLoopDriverHttpTest, MeasuresAServerOverHttp) {
  LoopExecutor Loop;
  auto Server = HttpServer::Builder(Loop)
                    .address(Endpoint("127.0.0.1:0"))
                    .handler([&](HttpRequest Request, auto Responder) {
                      Responder->respond(resultOf("r", Request.Body));
                    })
                    .build();
  ASSERT_TRUE(Server.ok()) << Server.status();
  H2oHttpClient Client(Loop);
  Recorder Records;
  LoadStream Stream = steadyStream(200);
  Stream.ResultBytes = 100000;
  auto Load =
      Workload::Builder().stream(Stream).duration(absl::Seconds(1)).build();
  ASSERT_TRUE(Load.ok());
  auto Driver = OpenLoopDriver::Builder(Loop, Client)
                    .hosts({(*Server)->address()})
                    .workload(*Load)
                    .recorder(Records)
                    .build();
  ASSERT_TRUE(Driver.ok());
  (*Driver)->start([&] { Loop.stop(); });
  Loop.run();
  EXPECT_EQ(Records.total().succeeded(), Load->requests().size());
}
