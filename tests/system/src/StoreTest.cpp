#include "SystemTest.h"

#include "standin_worker/TaskBody.h"

#include <fmt/format.h>

namespace vanillayard {

using nlohmann::json;

namespace {
class StoreTest : public SystemTest {};
} // namespace

// Guards against an outage of the store that stops repeatable requests or
// running jobs, and against a non-repeatable request that runs unrecorded.
TEST_F(StoreTest, OutageStopsOnlyWhatNeedsTheStore) {
  this->startCluster(Cluster::Builder().workersPerDataCentre(3));
  if (this->HasFatalFailure())
    return;
  std::string JobBody = TaskBody::make(absl::Seconds(3), "running job");
  std::string Id = this->submit(0, gangJob(2, JobBody), "running job");
  ASSERT_TRUE(
      this->waitUntil([&] { return this->countRunning(JobBody) == 2; }));
  this->setPlatformFaults(R"({"mode": "down"})");

  for (int I = 0; I < 10; ++I) {
    size_t Host = static_cast<size_t>(I) % 2;
    std::string Check =
        TaskBody::make(absl::Milliseconds(5), fmt::format("check {}", I));
    HttpResponse Answer = this->send(Host, priceCheck(Check));
    EXPECT_EQ(Answer.Status, 200) << Answer.Body;
    std::string Proof =
        TaskBody::make(absl::Milliseconds(5), fmt::format("refused {}", I));
    Answer = this->send(Host, quickProof(Proof, fmt::format("refused-{}", I)));
    EXPECT_EQ(describe(Answer), "503 platform_unavailable not_run");
    EXPECT_TRUE(this->runsWithBody(Proof).empty());
  }
  EXPECT_TRUE(
      this->waitUntil([&] { return this->countRunning(JobBody) == 0; }));
  for (const json &Run : this->runsWithBody(JobBody))
    EXPECT_EQ(Run["state"], "finished") << Run;

  this->setPlatformFaults(R"({"mode": "up"})");
  for (size_t Host = 0; Host < 2; ++Host) {
    std::string Proof =
        TaskBody::make(absl::Milliseconds(5), fmt::format("after {}", Host));
    HttpResponse Answer;
    EXPECT_TRUE(this->waitUntil([&] {
      Answer = this->send(Host, quickProof(Proof, fmt::format("up-{}", Host)));
      return Answer.Status == 200;
    })) << describe(Answer);
    EXPECT_EQ(this->runsWithBody(Proof).size(), 1U);
  }
  json Job = this->waitForJobEnd(1, Id);
  EXPECT_EQ(Job.value("state", ""), "finished") << Job;
  EXPECT_EQ(this->runsWithBody(JobBody).size(), 2U);
}

// Guards against a second run when the store applies a write but its answer is
// lost, so that the writer does not know whether it holds the claim.
TEST_F(StoreTest, LostAnswersCauseNoSecondRun) {
  this->startCluster(Cluster::Builder().workersPerDataCentre(3));
  if (this->HasFatalFailure())
    return;
  this->setPlatformFaults(R"({"mode": "lose_answers"})");
  constexpr int Count = 10;
  std::vector<std::string> Bodies;
  std::vector<HttpResponse> Last(Count);
  for (int I = 0; I < Count; ++I) {
    Bodies.push_back(
        TaskBody::make(absl::Milliseconds(20), fmt::format("proof {}", I)));
    auto At = static_cast<size_t>(I);
    this->cluster().http().beginCall(
        this->cluster().host(At % 2).Caller,
        quickProof(Bodies.back(), fmt::format("proof-{}", I)),
        absl::Seconds(30), [&Last, At](absl::StatusOr<HttpResponse> Answer) {
          Last[At] =
              Answer.ok() ? std::move(*Answer) : HttpResponse{-1, {}, ""};
          if (Last[At].Status == 0)
            Last[At].Status = -1;
        });
  }
  for (HttpResponse &Each : Last)
    Each.Status = 0;
  ASSERT_TRUE(this->waitUntil([&] {
    for (const HttpResponse &Each : Last)
      if (Each.Status == 0)
        return false;
    return true;
  }));
  for (size_t I = 0; I < Count; ++I) {
    size_t Runs = this->runsWithBody(Bodies[I]).size();
    EXPECT_LE(Runs, 1U) << describe(Last[I]);
    if (Last[I].Status != 200 &&
        parseObject(Last[I].Body).value("execution", "") == "not_run") {
      EXPECT_EQ(Runs, 0U) << describe(Last[I]);
    }
  }
  this->setPlatformFaults(R"({"mode": "up"})");
  // A retry through the other host returns the result of the only run.
  for (size_t I = 0; I < Count; ++I) {
    HttpResponse Answer;
    EXPECT_TRUE(this->waitUntil([&] {
      Answer = this->send((I + 1) % 2,
                          quickProof(Bodies[I], fmt::format("proof-{}", I)));
      return Answer.Status == 200;
    })) << describe(Answer);
    EXPECT_TRUE(TaskBody::isResultOf(Answer.Body, "", Bodies[I]));
    EXPECT_EQ(this->runsWithBody(Bodies[I]).size(), 1U);
  }
}

} // namespace vanillayard
