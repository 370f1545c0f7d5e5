#include "JobsSimulation.h"
#include "standin_worker/TaskBody.h"

#include <gtest/gtest.h>

using namespace vanillayard;

// Guards against a gang that is not taken through all its steps: recorded,
// placed, started once, results collected, leases released.
TEST(PlannerTaskTest, GangRunsOnceAndItsResultsAreRecorded) {
  JobsSimulation Sim(2, 2, 1);
  Sim.Hosts[0].Planner->setActive(true);
  JobSpec Spec =
      JobsSimulation::makeSpec("big", 4, 4, absl::Seconds(20), false);
  JobId Id = Sim.submit(Spec, "key");
  Sim.runFor(absl::Seconds(5));
  EXPECT_EQ(Sim.stateOf(Id), JobState::Placed);
  EXPECT_EQ(Sim.runsOf(Id).size(), 4u);
  Sim.runFor(absl::Seconds(20));
  ASSERT_EQ(Sim.stateOf(Id), JobState::Finished);
  auto Record = *Sim.recordOf(Id);
  ASSERT_EQ(Record.Results.size(), 4u);
  for (const std::string &Result : Record.Results)
    EXPECT_TRUE(TaskBody::isResultOf(Result, Id.str(), Spec.Body));
  EXPECT_EQ(Sim.runsOf(Id).size(), 4u);
  Sim.runFor(absl::Seconds(1));
  for (const Endpoint &Address : Sim.Fleet.addresses())
    EXPECT_TRUE(Sim.Fleet.model(Address).status().Leases.empty());
  EXPECT_EQ(Sim.violation(), "");
}

// Guards against a planner that gives up the role, regains it, and still counts
// accelerators as held by gangs that it no longer knows. The fuzz test found
// this with seed=42 after 93 cases.
TEST(PlannerTaskTest, RegainedRoleHasNoOldHolders) {
  JobsSimulation Sim(2, 2, 2);
  PlannerTask &Planner = *Sim.Hosts[0].Planner;
  Planner.setActive(true);
  Sim.submit(JobsSimulation::makeSpec("small", 4, 8, absl::Seconds(3), true),
             "a");
  Sim.runFor(absl::Seconds(2));
  Planner.setActive(false);
  Sim.runFor(absl::Seconds(15));
  Planner.setActive(true);
  JobId Second = Sim.submit(
      JobsSimulation::makeSpec("big", 4, 8, absl::Seconds(3), true), "b");
  EXPECT_TRUE(Sim.runUntilEnded(absl::Seconds(60)));
  EXPECT_EQ(Sim.stateOf(Second), JobState::Finished);
  EXPECT_EQ(Sim.violation(), "");
}

// Guards against a guaranteed job that does not start within the grace period
// plus the time to stop the borrowers, when borrowers hold the whole fleet
// (guarantee G1), and against borrowers that are lost instead of queued again.
TEST(PlannerTaskTest, GuaranteedJobStartsThoughBorrowersHoldEverything) {
  for (bool Checkpointable : {false, true}) {
    JobsSimulation Sim(2, 2, 1, JobsSimulation::defaultConfiguration(2));
    Sim.Hosts[0].Planner->setActive(true);
    JobSpec Borrower = JobsSimulation::makeSpec(
        "small", 2, 8, absl::Seconds(60), !Checkpointable);
    Borrower.Checkpointable = Checkpointable;
    JobId First = Sim.submit(Borrower, "a");
    JobId Second = Sim.submit(Borrower, "b");
    Sim.runFor(absl::Seconds(10));
    ASSERT_EQ(Sim.runsOf(First).size() + Sim.runsOf(Second).size(), 4u);
    JobId Wanted = Sim.submit(
        JobsSimulation::makeSpec("big", 2, 8, absl::Seconds(20), false), "c");
    Sim.runFor(absl::Seconds(8));
    EXPECT_EQ(Sim.runsOf(Wanted).size(), 2u);
    EXPECT_TRUE(Sim.runUntilEnded(absl::Seconds(300)));
    for (const JobId &Id : {First, Second, Wanted})
      EXPECT_EQ(Sim.stateOf(Id), JobState::Finished);
    EXPECT_EQ(Sim.violation(), "");
  }
}

// Guards against lending guaranteed accelerators to jobs that cannot be
// reclaimed, because they are neither repeatable nor checkpointable.
TEST(PlannerTaskTest, NonReclaimableWorkLeavesGuaranteesFree) {
  JobsSimulation Sim(2, 2, 1, JobsSimulation::defaultConfiguration(2));
  Sim.Hosts[0].Planner->setActive(true);
  for (int I = 0; I < 4; ++I)
    Sim.submit(JobsSimulation::makeSpec("small", 1, 8, absl::Hours(1), false),
               std::to_string(I));
  Sim.runFor(absl::Seconds(20));
  EXPECT_EQ(Sim.Hosts[0].Planner->counts().Running, 2u);
  JobId Wanted = Sim.submit(
      JobsSimulation::makeSpec("big", 2, 8, absl::Seconds(5), false), "c");
  Sim.runFor(absl::Seconds(3));
  EXPECT_EQ(Sim.runsOf(Wanted).size(), 2u);
}

// Guards against an outage of the store that stops running jobs or holds back
// queued repeatable jobs, also across a change of planner, and against starting
// jobs that must not run twice during the outage.
TEST(PlannerTaskTest, StoreDownForALongTime) {
  JobsSimulation Sim(2, 2, 2);
  Sim.Hosts[0].Planner->setActive(true);
  JobId RunningJob = Sim.submit(
      JobsSimulation::makeSpec("big", 4, 8, absl::Seconds(30), false), "runs");
  JobId Repeatable = Sim.submit(
      JobsSimulation::makeSpec("small", 2, 8, absl::Seconds(60), true),
      "again");
  JobId NonRepeatable = Sim.submit(
      JobsSimulation::makeSpec("other", 2, 8, absl::Seconds(5), false), "once");
  Sim.runFor(absl::Seconds(5));
  for (JobsHost &Host : Sim.Hosts)
    Host.Store->setDown(true);
  Sim.runFor(absl::Seconds(40));
  EXPECT_EQ(Sim.runsOf(RunningJob).size(), 4u);
  EXPECT_EQ(Sim.runsOf(Repeatable).size(), 2u) << "repeatable jobs go on";
  EXPECT_TRUE(Sim.runsOf(NonRepeatable).empty()) << "others wait for the store";
  Sim.failOver(0, 1, true);
  Sim.runFor(absl::Minutes(2));
  EXPECT_EQ(Sim.runsOf(Repeatable).size(), 2u) << "the new planner goes on";
  EXPECT_EQ(Sim.runsOf(Repeatable)[0].State, LeaseState::Finished);
  Sim.heal(1);
  EXPECT_TRUE(Sim.runUntilEnded(absl::Seconds(60)));
  for (const JobId &Id : {RunningJob, Repeatable, NonRepeatable})
    EXPECT_EQ(Sim.stateOf(Id), JobState::Finished);
  EXPECT_EQ(Sim.violation(), "");
}

// Guards against jobs that wait for ever because they never fit or are past
// their deadline, and against cancellations whose cost grows with the length of
// the queue.
TEST(PlannerTaskTest, EndsJobsThatCannotRunAndCancelsInBatches) {
  JobsSimulation Sim(1, 2, 1);
  Sim.Hosts[0].Planner->setActive(true);
  JobId Never = Sim.submit(
      JobsSimulation::makeSpec("big", 3, 8, absl::Seconds(5), true), "never");
  JobSpec Late = JobsSimulation::makeSpec("big", 1, 1, absl::Seconds(5), true);
  Late.Deadline = absl::Seconds(4);
  JobId Running = Sim.submit(
      JobsSimulation::makeSpec("big", 2, 8, absl::Minutes(10), false),
      "running");
  Sim.runFor(absl::Seconds(2));
  EXPECT_EQ(Sim.stateOf(Never), JobState::NeverFits);
  JobId Expired = Sim.submit(Late, "late");
  std::vector<JobId> Batch;
  Batch.reserve(300);
  for (int I = 0; I < 300; ++I)
    Batch.push_back(Sim.submit(
        JobsSimulation::makeSpec("small", 1, 1, absl::Seconds(5), false),
        std::to_string(I)));
  Sim.runFor(absl::Seconds(6));
  EXPECT_EQ(Sim.stateOf(Expired), JobState::DeadlineExpired);
  EXPECT_EQ(Sim.Hosts[0].Planner->counts().Queued, 300u);
  for (const JobId &Id : Batch)
    Sim.cancel(Id);
  Sim.runFor(absl::Seconds(1));
  EXPECT_EQ(Sim.Hosts[0].Planner->counts().Queued, 0u);
  Sim.cancel(Running);
  Sim.runFor(absl::Seconds(2));
  EXPECT_EQ(Sim.stateOf(Running), JobState::Cancelled);
  EXPECT_TRUE(Sim.recordOf(Running)->MayHaveRun);
  EXPECT_FALSE(Sim.recordOf(Batch[0])->MayHaveRun);
  EXPECT_EQ(Sim.violation(), "");
}

// Guards against jobs of a lost data centre that never run: queued and
// repeatable jobs must run elsewhere after 60 s. Guards also against a second
// run of a placed job that must not run twice: it stays with its workers.
TEST(PlannerTaskTest, LostDataCentreIsTakenOverAfterAMinute) {
  JobsSimulation Sim(1, 2, 1);
  Sim.restartHost(0);
  Sim.Hosts[0].Planner->setActive(true);
  JobRecord Queued;
  Queued.Spec = JobsSimulation::makeSpec("big", 1, 8, absl::Seconds(2), false);
  Queued.Id = JobId("job-queued");
  Queued.DataCentre = DataCentreId("dc2");
  Queued.Submitted = Sim.Exec.now();
  JobRecord NonRepeatable = Queued;
  NonRepeatable.Id = JobId("job-once");
  NonRepeatable.State = JobState::Placed;
  NonRepeatable.Placement = {
      {WorkerId("far"), Endpoint("far:1"), LeaseId("job-once.1.0"), {0}}};
  JobRecord Repeatable = NonRepeatable;
  Repeatable.Id = JobId("job-again");
  Repeatable.Spec.Repeatable = true;
  for (const JobRecord &Record : {Queued, NonRepeatable, Repeatable})
    Sim.Hosts[0].Store->data().put(Record.key(), Record.encode());
  Sim.Hosts[0].Planner->setDataCentreLost(DataCentreId("dc2"), true);
  Sim.runFor(absl::Seconds(58));
  EXPECT_EQ(Sim.stateOf(Queued.Id), JobState::Queued);
  Sim.runFor(absl::Seconds(50));
  EXPECT_EQ(Sim.stateOf(Queued.Id), JobState::Finished);
  EXPECT_EQ(Sim.stateOf(Repeatable.Id), JobState::Finished);
  EXPECT_EQ(Sim.stateOf(NonRepeatable.Id), JobState::Unresolved);
  EXPECT_TRUE(Sim.runsOf(NonRepeatable.Id).empty());
}

// Guards against placing a repeatable job again and again on a worker that
// fails every task.
TEST(PlannerTaskTest, RepeatableJobAvoidsTheWorkerThatFailedIt) {
  JobsSimulation Sim(1, 2, 1);
  Sim.Fleet.model(Sim.address(0)).setFailEverything(true);
  Sim.Hosts[0].Planner->setActive(true);
  JobId Repeatable = Sim.submit(
      JobsSimulation::makeSpec("big", 1, 8, absl::Seconds(2), true), "again");
  Sim.runFor(absl::Seconds(10));
  EXPECT_EQ(Sim.stateOf(Repeatable), JobState::Finished);
  EXPECT_LE(Sim.runsOf(Repeatable).size(), 2u);
}
