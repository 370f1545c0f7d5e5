#include "JobsWorld.h"
#include "standin_worker/TaskBody.h"

#include <gtest/gtest.h>

using namespace vanillayard;

// The whole path of a gang: recorded, placed, started, collected, released.
TEST(PlannerTaskTest, GangRunsOnceAndItsResultsAreRecorded) {
  JobsWorld World(2, 2, 1);
  World.Hosts[0].Planner->setPlanner(true);
  JobSpec Spec = JobsWorld::spec("big", 4, 4, absl::Seconds(20), false);
  JobId Id = World.submit(Spec, "key");
  World.run(absl::Seconds(5));
  EXPECT_EQ(World.stateOf(Id), JobState::Placed);
  EXPECT_EQ(World.runsOf(Id).size(), 4u);
  World.run(absl::Seconds(20));
  ASSERT_EQ(World.stateOf(Id), JobState::Finished);
  auto Record = *World.record(Id);
  ASSERT_EQ(Record.Results.size(), 4u);
  for (const std::string &Result : Record.Results)
    EXPECT_TRUE(TaskBody::isResultOf(Result, Id.str(), Spec.Body));
  EXPECT_EQ(World.runsOf(Id).size(), 4u);
  World.run(absl::Seconds(1));
  for (const Endpoint &Address : World.Fleet.addresses())
    EXPECT_TRUE(World.Fleet.model(Address).status().Leases.empty());
  EXPECT_EQ(World.violation(), "");
}
