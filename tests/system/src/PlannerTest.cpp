#include "SystemTest.h"

#include "standin_worker/TaskBody.h"

#include <algorithm>

namespace vanillayard {

using nlohmann::json;

namespace {
class PlannerTest : public SystemTest {
protected:
  /// State of all jobs as a host sees them, and all runs, for failures.
  std::string describeJobs(size_t Host) {
    auto Jobs = this->cluster().http().get(this->cluster().host(Host).Admin,
                                           "/v1/admin/jobs");
    auto Runs = this->cluster().executions();
    return (Jobs.ok() ? Jobs->Body : "no jobs") + "\n" +
           this->status(Host)["queues"].dump() + "\n" +
           (Runs.ok() ? json(*Runs).dump() : "no runs");
  }
};
} // namespace

static constexpr int Members = 2;

// Guards against a gang that is lost, stopped or started twice, and a queued
// job that is forgotten or run twice, when the planner's host dies.
TEST_F(PlannerTest, KilledPlannerLosesAndRepeatsNoJob) {
  this->start(Cluster::Builder().workersPerDataCentre(Members));
  if (this->HasFatalFailure())
    return;
  size_t Planner = this->waitForPlanner();
  size_t Other = 1 - Planner;
  // Longer than the 6 s after which the other host takes the role.
  std::string Running = TaskBody::make(absl::Seconds(9), "running gang");
  std::string Queued = TaskBody::make(absl::Milliseconds(200), "queued gang");
  std::string First =
      this->submit(Planner, gang(Members, Running), "running gang");
  ASSERT_TRUE(this->waitUntil([&] {
    return this->runningOf(Running) == Members;
  })) << this->describeJobs(Planner);
  std::string Second =
      this->submit(Planner, gang(Members, Queued), "queued gang");
  EXPECT_TRUE(this->runsOf(Queued).empty()) << "the job was not queued";
  this->cluster().host(Planner).Running->kill();

  json Job = this->awaitEnd(Other, First);
  EXPECT_EQ(Job.value("state", ""), "finished") << Job;
  Job = this->awaitEnd(Other, Second);
  EXPECT_EQ(Job.value("state", ""), "finished") << Job;
  for (const std::string &Body : {Running, Queued}) {
    std::vector<json> Runs = this->runsOf(Body);
    EXPECT_EQ(Runs.size(), Members) << json(Runs);
    for (const json &Run : Runs)
      EXPECT_EQ(Run["state"], "finished") << Run;
  }
}

/// Longest unbroken time in which some but not all members of a gang ran.
static absl::Duration longestPart(const std::vector<json> &Runs) {
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
    bool WasPart = Count > 0 && Count < Members;
    Count += Step;
    if (!WasPart)
      Since = Ms;
  }
  return absl::Milliseconds(Longest);
}

// Guards against a planner that acts on expired leases after a pause: gang
// members left running alone, or a job that must not be repeated run twice.
TEST_F(PlannerTest, PlannerFrozenPastLeasesRepeatsNothing) {
  constexpr absl::Duration Ttl = absl::Seconds(4);
  this->start(Cluster::Builder().workersPerDataCentre(3).settings(
      [Ttl](Settings::Builder &Text) { Text.leaseTtl(Ttl); }));
  if (this->HasFatalFailure())
    return;
  size_t Planner = this->waitForPlanner();
  size_t Other = 1 - Planner;
  // Longer than the leases, so that none ends by itself before they expire.
  std::string Again = TaskBody::make(absl::Seconds(5), "repeatable gang");
  std::string Once = TaskBody::make(absl::Seconds(5), "job that runs once");
  json Gang = gang(Members, Again);
  Gang["repeatable"] = true;
  std::string GangId = this->submit(Planner, Gang, "repeatable gang");
  std::string OnceId = this->submit(Planner, gang(1, Once), "runs once");
  ASSERT_TRUE(this->waitUntil([&] {
    return this->runningOf(Again) == Members && this->runningOf(Once) == 1;
  })) << this->describeJobs(Planner);
  this->cluster().host(Planner).Running->pause();
  bool HasExpired = this->waitUntil([&] {
    for (const json &Run : this->runsOf(Again))
      if (Run["state"] == "running")
        return false;
    return this->runningOf(Once) == 0;
  });
  // The other host has taken over, and the paused one wakes up beside it.
  bool TookOver = this->waitUntil(
      [&] { return this->status(Other).value("is_planner", false); });
  this->cluster().host(Planner).Running->resume();
  EXPECT_TRUE(HasExpired);
  EXPECT_TRUE(TookOver);

  json Job = this->awaitEnd(Other, GangId);
  EXPECT_EQ(Job.value("state", ""), "finished") << Job;
  Job = this->awaitEnd(Other, OnceId);
  EXPECT_EQ(this->runsOf(Once).size(), 1U) << Job;
  std::vector<json> Runs = this->runsOf(Again);
  // The worker's clock and timers are exact to far less than this.
  EXPECT_LE(longestPart(Runs), Ttl + absl::Seconds(1)) << json(Runs);
}

// Guards against a job that waits for the planner's next listing of all
// records, up to 30 s, because the host that took it had just started and did
// not know the planner yet.
TEST_F(PlannerTest, JobThroughRestartedHostDoesNotWaitForListing) {
  this->start(Cluster::Builder().workersPerDataCentre(1));
  if (this->HasFatalFailure())
    return;
  size_t Planner = this->waitForPlanner();
  size_t Other = 1 - Planner;
  absl::Status Restarted = this->cluster().restartHost(Other);
  ASSERT_TRUE(Restarted.ok()) << Restarted;
  std::string Body = TaskBody::make(absl::Milliseconds(50), "early job");
  this->submit(Other, gang(1, Body), "early job");
  // A placement takes milliseconds; the planner listed the records when it
  // took the role, and does so again 30 s later.
  EXPECT_TRUE(this->waitUntil([&] { return !this->runsOf(Body).empty(); },
                              absl::Seconds(20)))
      << this->describeJobs(Planner);
}

} // namespace vanillayard
