#include "SystemTest.h"

#include "standin_worker/TaskBody.h"

#include <fmt/format.h>

namespace vanillayard {

using nlohmann::json;

namespace {

/// A caller of a non-repeatable request. It retries with the same idempotency
/// key while it gets no answer or "in_progress".
struct Caller {
  std::string Body;
  std::string Key;
  HttpResponse Last;
  bool Done = false;
};

class EntryHostTest : public SystemTest {
protected:
  void sendAll(size_t Host) {
    for (Caller &Each : this->Callers)
      this->send(Each, Host);
  }
  bool allDone() const {
    for (const Caller &Each : this->Callers)
      if (!Each.Done)
        return false;
    return true;
  }
  /// Compares each caller's answer with the execution records of the workers.
  void checkRuns();

  std::vector<Caller> Callers;
  size_t RetryHost = 0;

private:
  void send(Caller &Each, size_t Host);
};

} // namespace

static constexpr absl::Duration CallTimeout = absl::Seconds(30);
static constexpr absl::Duration RetryPause = absl::Milliseconds(100);

void EntryHostTest::send(Caller &Each, size_t Host) {
  this->cluster().http().beginCall(
      this->cluster().host(Host).Caller, quickProof(Each.Body, Each.Key),
      CallTimeout, [this, &Each](absl::StatusOr<HttpResponse> Answer) {
        Each.Last = Answer.ok() ? std::move(*Answer) : HttpResponse{0, {}, ""};
        json Problem = parseObject(Each.Last.Body);
        bool ShouldRetry = Each.Last.Status == 0 ||
                           (Each.Last.Status != 200 &&
                            Problem.value("kind", "") == "in_progress");
        if (!ShouldRetry) {
          Each.Done = true;
          return;
        }
        this->cluster().http().loop().runAfter(
            RetryPause, [this, &Each] { this->send(Each, this->RetryHost); });
      });
}

void EntryHostTest::checkRuns() {
  for (const Caller &Each : this->Callers) {
    size_t Runs = this->runsWithBody(Each.Body).size();
    SCOPED_TRACE(fmt::format("{}: {} {}, {} run(s)", Each.Key,
                             describe(Each.Last), Each.Last.Body, Runs));
    EXPECT_LE(Runs, 1U);
    if (Each.Last.Status == 200) {
      EXPECT_EQ(Runs, 1U);
      EXPECT_TRUE(TaskBody::isResultOf(Each.Last.Body, "", Each.Body));
      continue;
    }
    std::string Execution = parseObject(Each.Last.Body).value("execution", "");
    EXPECT_TRUE(Execution == "not_run" || Execution == "may_have_run" ||
                Execution == "ran");
    if (Execution == "not_run") {
      EXPECT_EQ(Runs, 0U);
    }
    if (Execution == "ran") {
      EXPECT_EQ(Runs, 1U);
    }
  }
}

// Guards against a second run, a lost answer or a wrong execution value when
// the host that holds the claim dies before, during or after the run.
TEST_F(EntryHostTest, RetriesAfterKilledHostRunAtMostOnce) {
  this->startCluster(Cluster::Builder().workersPerDataCentre(2));
  if (this->HasFatalFailure())
    return;
  // More requests than slots, so that some are still queued at the kill.
  for (int I = 0; I < 60; ++I)
    this->Callers.push_back(
        {TaskBody::make(absl::Milliseconds(300), fmt::format("proof {}", I)),
         fmt::format("proof-{}", I),
         {},
         false});
  this->RetryHost = 1;
  this->sendAll(0);
  ASSERT_TRUE(this->waitUntil([&] {
    auto All = this->cluster().readExecutions();
    return All.ok() && All->size() >= 20;
  }));
  this->cluster().host(0).Running->kill();
  EXPECT_TRUE(this->waitUntil([&] { return this->allDone(); }));
  this->checkRuns();
  size_t Answered = 0;
  for (const Caller &Each : this->Callers)
    Answered += Each.Last.Status == 200;
  // Requests that were queued or finished at the kill get a result; only those
  // that were running may end with an unknown outcome.
  EXPECT_GE(Answered, this->Callers.size() / 2);
}

// Guards against a host that never exits because an operator drains it while it
// shuts down.
TEST_F(EntryHostTest, DrainDuringTheShutdownDoesNotPreventTheExit) {
  this->startCluster(Cluster::Builder().workersPerDataCentre(1));
  if (this->HasFatalFailure())
    return;
  EntryHostNode &Host = this->cluster().host(0);
  Host.Running->terminate();
  ASSERT_TRUE(this->waitUntil([&] {
    auto Health = this->cluster().http().get(Host.Admin, "/healthz");
    return Health.ok() && Health->Status == 503;
  }));
  auto Drain = this->cluster().http().post(Host.Admin, "/v1/admin/drain",
                                           "{\"host\":true}");
  ASSERT_TRUE(Drain.ok());
  EXPECT_EQ(Drain->Status, 202);
  EXPECT_EQ(Host.Running->waitForExit().value_or(-1), 0);
}

} // namespace vanillayard
