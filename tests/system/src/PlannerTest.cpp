#include "SystemTest.h"

#include "standin_worker/TaskBody.h"

#include <algorithm>

namespace vanillayard {

using nlohmann::json;

namespace {
class PlannerTest : public SystemTest {
protected:
  /// A host's view of all jobs and queues, and the execution records of all
  /// workers, for failure messages.
  std::string describeJobs(size_t Host) {
    auto Jobs = this->cluster().http().get(this->cluster().host(Host).Admin,
                                           "/v1/admin/jobs");
    auto Runs = this->cluster().readExecutions();
    return (Jobs.ok() ? Jobs->Body : "no jobs") + "\n" +
           this->adminStatus(Host)["queues"].dump() + "\n" +
           (Runs.ok() ? json(*Runs).dump() : "no runs");
  }
};
} // namespace

static constexpr int Members = 2;

// Guards against a running gang that is lost, stopped or started twice, and a
// queued job that is lost or run twice, when the planner's host is killed.
TEST_F(PlannerTest, KilledPlannerLosesAndRepeatsNoJob) {
  this->startCluster(Cluster::Builder().workersPerDataCentre(Members));
  if (this->HasFatalFailure())
    return;
  size_t Planner = this->waitForPlanner();
  size_t Other = 1 - Planner;
  // Longer than the 6 s after which the other host becomes the planner.
  std::string Running = TaskBody::make(absl::Seconds(9), "running gang");
  std::string Queued = TaskBody::make(absl::Milliseconds(200), "queued gang");
  std::string First =
      this->submit(Planner, gangJob(Members, Running), "running gang");
  ASSERT_TRUE(this->waitUntil([&] {
    return this->countRunning(Running) == Members;
  })) << this->describeJobs(Planner);
  std::string Second =
      this->submit(Planner, gangJob(Members, Queued), "queued gang");
  EXPECT_TRUE(this->runsWithBody(Queued).empty())
      << "the job has started, expected it to be queued";
  this->cluster().host(Planner).Running->kill();

  json Job = this->waitForJobEnd(Other, First);
  EXPECT_EQ(Job.value("state", ""), "finished") << Job;
  Job = this->waitForJobEnd(Other, Second);
  EXPECT_EQ(Job.value("state", ""), "finished") << Job;
  for (const std::string &Body : {Running, Queued}) {
    std::vector<json> Runs = this->runsWithBody(Body);
    EXPECT_EQ(Runs.size(), Members) << json(Runs);
    for (const json &Run : Runs)
      EXPECT_EQ(Run["state"], "finished") << Run;
  }
}

/// Longest continuous time during which some but not all members of a gang
/// ran.
static absl::Duration longestPartialGang(const std::vector<json> &Runs) {
  std::vector<std::pair<int64_t, int>> Changes;
  for (const json &Run : Runs) {
    Changes.emplace_back(Run.value("started_ms", int64_t{0}), 1);
    if (Run.contains("ended_ms"))
      Changes.emplace_back(Run.value("ended_ms", int64_t{0}), -1);
  }
  std::sort(Changes.begin(), Changes.end());
  int64_t Longest = 0;
  int64_t Since = 0;
  int Count = 0;
  for (const auto &[Ms, Step] : Changes) {
    if (Count > 0 && Count < Members)
      Longest = std::max(Longest, Ms - Since);
    bool WasPartial = Count > 0 && Count < Members;
    Count += Step;
    if (!WasPartial)
      Since = Ms;
  }
  return absl::Milliseconds(Longest);
}

// Guards against a planner that acts on expired leases after a pause and so
// leaves members of a gang running alone or runs a non-repeatable job twice.
TEST_F(PlannerTest, PlannerPausedPastLeaseExpiryRepeatsNothing) {
  constexpr absl::Duration Ttl = absl::Seconds(4);
  this->startCluster(Cluster::Builder().workersPerDataCentre(3).settings(
      [Ttl](Settings::Builder &Text) { Text.leaseTtl(Ttl); }));
  if (this->HasFatalFailure())
    return;
  size_t Planner = this->waitForPlanner();
  size_t Other = 1 - Planner;
  // Longer than the leases, so that no run ends before its lease expires.
  std::string Again = TaskBody::make(absl::Seconds(5), "repeatable gang");
  std::string Once = TaskBody::make(absl::Seconds(5), "job that runs once");
  json Gang = gangJob(Members, Again);
  Gang["repeatable"] = true;
  std::string GangId = this->submit(Planner, Gang, "repeatable gang");
  std::string OnceId = this->submit(Planner, gangJob(1, Once), "runs once");
  ASSERT_TRUE(this->waitUntil([&] {
    return this->countRunning(Again) == Members &&
           this->countRunning(Once) == 1;
  })) << this->describeJobs(Planner);
  this->cluster().host(Planner).Running->pause();
  bool HasExpired = this->waitUntil([&] {
    for (const json &Run : this->runsWithBody(Again))
      if (Run["state"] == "running")
        return false;
    return this->countRunning(Once) == 0;
  });
  // The paused host resumes only after the other host has become the planner.
  bool TookOver = this->waitUntil(
      [&] { return this->adminStatus(Other).value("is_planner", false); });
  this->cluster().host(Planner).Running->resume();
  EXPECT_TRUE(HasExpired);
  EXPECT_TRUE(TookOver);

  json Job = this->waitForJobEnd(Other, GangId);
  EXPECT_EQ(Job.value("state", ""), "finished") << Job;
  Job = this->waitForJobEnd(Other, OnceId);
  EXPECT_EQ(this->runsWithBody(Once).size(), 1U) << Job;
  std::vector<json> Runs = this->runsWithBody(Again);
  // 1 s is far more than the error of the workers' clocks and timers.
  EXPECT_LE(longestPartialGang(Runs), Ttl + absl::Seconds(1)) << json(Runs);
}

// Guards against a job that waits up to 30 s, until the planner next lists all
// records, because the host that accepted it had just started and did not know
// the planner yet.
TEST_F(PlannerTest, JobThroughRestartedHostDoesNotWaitForListing) {
  this->startCluster(Cluster::Builder().workersPerDataCentre(1));
  if (this->HasFatalFailure())
    return;
  size_t Planner = this->waitForPlanner();
  size_t Other = 1 - Planner;
  absl::Status Restarted = this->cluster().restartHost(Other);
  ASSERT_TRUE(Restarted.ok()) << Restarted;
  std::string Body = TaskBody::make(absl::Milliseconds(50), "early job");
  this->submit(Other, gangJob(1, Body), "early job");
  // A placement takes milliseconds. The planner lists the records when it takes
  // the role and again 30 s later.
  EXPECT_TRUE(this->waitUntil([&] { return !this->runsWithBody(Body).empty(); },
                              absl::Seconds(20)))
      << this->describeJobs(Planner);
}

} // namespace vanillayard
