#include "SchedulerBench.h"
#include "fleet/JobProgressCodec.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

using namespace vanillayard;

static WorkerReport emptyReport() {
  WorkerReport Report;
  Report.Incarnation = 1;
  return Report;
}

// A task must not be started twice while its first run may be alive.
TEST(SchedulerTest, EachTaskIsStartedOnce) {
  SchedulerBench Bench;
  Bench.addWorker("w1");
  Bench.add(Bench.job("j1", 3, 2));
  EXPECT_EQ(Bench.round().Starts.size(), 3U);
  EXPECT_EQ(Bench.round().Starts.size(), 0U);
}

TEST(SchedulerTest, WorkersAreNeverOvercommitted) {
  SchedulerBench Bench;
  Bench.addWorker("w1");
  Bench.addWorker("w2");
  Bench.add(Bench.job("j1", 5, 4));
  EXPECT_EQ(Bench.round().Starts.size(), 4U);
}

// Small tasks spread over all workers would leave none whole for wide ones.
TEST(SchedulerTest, SmallTasksFillWorkersThatAreInUse) {
  SchedulerBench Bench;
  Bench.addWorker("w1");
  Bench.addWorker("w2");
  Bench.add(Bench.job("j1", 4, 1));
  std::set<WorkerId> Used;
  for (const StartOrder &Order : Bench.round().Starts)
    Used.insert(Order.Worker);
  EXPECT_EQ(Used.size(), 1U);
  Bench.add(Bench.job("j2", 1, 8));
  EXPECT_EQ(Bench.round().Starts.size(), 1U);
}

TEST(SchedulerTest, LaterStepWaitsForTheEarlierOne) {
  SchedulerBench Bench;
  Bench.addWorker("w1");
  BatchJob Job = Bench.job("j1", 2, 1);
  Job.Steps.push_back(Job.Steps[0]);
  Job.Steps[1].After = {0};
  Bench.add(Job);
  Orders First = Bench.round();
  ASSERT_EQ(First.Starts.size(), 2U);
  Bench.end(First.Starts[0], RunOutcome::Done);
  EXPECT_EQ(Bench.round().Starts.size(), 0U);
  Bench.end(First.Starts[1], RunOutcome::Done);
  Orders Second = Bench.round();
  ASSERT_EQ(Second.Starts.size(), 2U);
  EXPECT_EQ(Second.Starts[0].Task.Step, 1);
}

TEST(SchedulerTest, GangStartsWholeOrNotAtAll) {
  SchedulerBench Bench;
  Bench.addWorker("w1");
  BatchJob Job = Bench.job("j1", 3, 4);
  Job.Steps[0].IsGang = true;
  Bench.add(Job);
  EXPECT_EQ(Bench.round().Starts.size(), 0U);
  Bench.addWorker("w2");
  Orders Round = Bench.round();
  ASSERT_EQ(Round.Starts.size(), 3U);
  EXPECT_EQ(Round.Starts[0].Run, Round.Starts[1].Run);
  EXPECT_EQ(Round.Starts[0].Run, Round.Starts[2].Run);
}

// Members of a gang that cannot become complete would wait for nothing.
TEST(SchedulerTest, RefusedMemberStopsTheGang) {
  SchedulerBench Bench;
  Bench.addWorker("w1");
  Bench.addWorker("w2");
  BatchJob Job = Bench.job("j1", 2, 8);
  Job.Steps[0].IsGang = true;
  Bench.add(Job);
  Orders Round = Bench.Plan.plan(Bench.Exec.now());
  ASSERT_EQ(Round.Starts.size(), 2U);
  Bench.Plan.startAnswered(Round.Starts[0], OrderAnswer::Accepted,
                           Bench.Exec.now());
  Bench.Plan.startAnswered(Round.Starts[1], OrderAnswer::NoRoom,
                           Bench.Exec.now());
  Orders Next = Bench.round();
  ASSERT_EQ(Next.Stops.size(), 1U);
  EXPECT_EQ(Next.Stops[0].Task, Round.Starts[0].Task);
  EXPECT_EQ(Next.Starts.size(), 0U);
}

// One end as done stands for the whole gang.
TEST(SchedulerTest, DoneMemberCompletesTheGang) {
  SchedulerBench Bench;
  Bench.addWorker("w1");
  BatchJob Job = Bench.job("j1", 2, 4);
  Job.Steps[0].IsGang = true;
  Bench.add(Job);
  Orders Round = Bench.round();
  Bench.end(Round.Starts[1], RunOutcome::Done);
  EXPECT_NE(Bench.record("j1").find("\"done\""), std::string::npos);
}

// An order without an answer may be carried out later. A second run elsewhere
// before the worker has refused the first one would run the task twice.
TEST(SchedulerTest, UnansweredStartIsStoppedBeforeAnotherRun) {
  SchedulerBench Bench;
  Bench.addWorker("w1");
  Bench.addWorker("w2");
  Bench.add(Bench.job("j1", 1, 8));
  Orders First = Bench.Plan.plan(Bench.Exec.now());
  Bench.Plan.startAnswered(First.Starts[0], OrderAnswer::Unknown,
                           Bench.Exec.now());
  Orders Second = Bench.Plan.plan(Bench.Exec.now());
  ASSERT_EQ(Second.Stops.size(), 1U);
  EXPECT_EQ(Second.Starts.size(), 0U);
  Bench.Plan.stopAnswered(Second.Stops[0], true, Bench.Exec.now());
  EXPECT_EQ(Bench.round().Starts.size(), 0U) << "no report yet";
  Bench.Exec.advance(absl::Milliseconds(10));
  Bench.Plan.reportReceived(First.Starts[0].Worker, emptyReport(),
                            Bench.Exec.now(), Bench.Exec.now());
  Orders Third = Bench.round();
  ASSERT_EQ(Third.Starts.size(), 1U);
  EXPECT_GT(Third.Starts[0].Run, First.Starts[0].Run);
}

// A report from before an order says nothing about the run.
TEST(SchedulerTest, OldReportDoesNotEndARun) {
  SchedulerBench Bench;
  WorkerEntry Worker = Bench.addWorker("w1");
  Bench.add(Bench.job("j1", 1, 1));
  absl::Time Before = Bench.Exec.now();
  Bench.Exec.advance(absl::Milliseconds(10));
  Bench.round();
  Bench.Plan.reportReceived(Worker.Id, emptyReport(), Before, Bench.Exec.now());
  EXPECT_EQ(Bench.Plan.runsOn(Worker.Id), 1U);
  Bench.Exec.advance(absl::Milliseconds(10));
  Bench.Plan.reportReceived(Worker.Id, emptyReport(), Bench.Exec.now(),
                            Bench.Exec.now());
  EXPECT_EQ(Bench.Plan.runsOn(Worker.Id), 0U);
}

TEST(SchedulerTest, FailuresAreCountedUpToTheLimit) {
  SchedulerBench Bench;
  Bench.addWorker("w1");
  Bench.addWorker("w2");
  Bench.add(Bench.job("j1", 1, 1));
  for (int I = 0; I < 3; ++I) {
    Orders Round = Bench.round();
    ASSERT_EQ(Round.Starts.size(), 1U) << "attempt " << I;
    Bench.end(Round.Starts[0], RunOutcome::Failed);
  }
  EXPECT_EQ(Bench.round().Starts.size(), 0U);
  EXPECT_NE(Bench.record("j1").find("\"failed\""), std::string::npos);
}

// Ends are listed again until they are acknowledged.
TEST(SchedulerTest, RepeatedEndIsCountedOnce) {
  SchedulerBench Bench;
  WorkerEntry Worker = Bench.addWorker("w1");
  Bench.add(Bench.job("j1", 1, 1));
  Orders Round = Bench.round();
  WorkerReport Report;
  Report.Incarnation = 1;
  Report.Ends.push_back(
      {1, Round.Starts[0].Task, Round.Starts[0].Run, RunOutcome::Failed, ""});
  for (int I = 0; I < 5; ++I)
    Bench.Plan.reportReceived(Worker.Id, Report, absl::InfinitePast(),
                              Bench.Exec.now());
  EXPECT_EQ(Bench.round().Starts.size(), 1U);
}

// The next leader finds an end in its record and again in the worker's list.
TEST(SchedulerTest, EndThatIsInTheRecordIsNotCountedAgain) {
  SchedulerBench Bench;
  WorkerEntry Worker = Bench.addWorker("w1");
  BatchJob Job = Bench.job("j1", 1, 1);
  Job.MaxAttempts = 2;
  JobProgress Progress(Job);
  Progress.State = BatchState::Running;
  Progress.task(0, 0, 0) = {false, {500}, ""};
  Bench.Plan.addJob(Job, Progress, true, Bench.Exec.now());
  Bench.end(Worker.Id, {Job.Id, 0, 0, 0}, 500, RunOutcome::Failed);
  Bench.Plan.settle();
  EXPECT_EQ(Bench.round().Starts.size(), 1U);
}

TEST(SchedulerTest, CheckpointIsCarriedToTheNextRun) {
  SchedulerBench Bench;
  Bench.addWorker("w1");
  BatchJob Job = Bench.job("j1", 1, 1);
  Job.Steps[0].IsCheckpointing = true;
  Bench.add(Job);
  Orders First = Bench.round();
  EXPECT_EQ(First.Starts[0].Checkpoint, "");
  Bench.end(First.Starts[0], RunOutcome::Stopped, "00000bb8");
  EXPECT_EQ(Bench.round().Starts[0].Checkpoint, "00000bb8");
}

TEST(SchedulerTest, CancelledJobIsStopped) {
  SchedulerBench Bench;
  Bench.addWorker("w1");
  Bench.add(Bench.job("j1", 12, 1));
  ASSERT_EQ(Bench.round().Starts.size(), 8U);
  Bench.Plan.cancelJob(JobId("j1"), Bench.Exec.now());
  Orders Round = Bench.round();
  EXPECT_EQ(Round.Stops.size(), 8U);
  EXPECT_EQ(Round.Starts.size(), 0U);
  EXPECT_NE(Bench.record("j1").find("\"cancelled\""), std::string::npos);
}

// Urgent work takes room from the least urgent, and the start waits until the
// worker has listed the end.
TEST(SchedulerTest, UrgentTaskPreemptsAndWaitsForTheRoom) {
  SchedulerBench Bench;
  Bench.addWorker("w1");
  Bench.add(Bench.job("j1", 2, 4));
  Orders Low = Bench.round();
  ASSERT_EQ(Low.Starts.size(), 2U);
  Bench.add(Bench.job("j0", 1, 4, 0));
  Orders Urgent = Bench.round();
  ASSERT_EQ(Urgent.Stops.size(), 1U);
  EXPECT_EQ(Urgent.Starts.size(), 0U);
  EXPECT_EQ(Bench.round().Starts.size(), 0U);
  Bench.end(Urgent.Stops[0].Worker, Urgent.Stops[0].Task, Urgent.Stops[0].Run,
            RunOutcome::Stopped);
  Orders Next = Bench.round();
  ASSERT_EQ(Next.Starts.size(), 1U);
  EXPECT_EQ(Next.Starts[0].Task.Job, JobId("j0"));
}

static const ClientAccountId Owner("owner");

/// Guarantees 8 accelerators to the owner, and lets another account's urgent
/// job use them.
static void startBorrower(SchedulerBench &Bench) {
  FleetConfiguration Configuration;
  AccountTerms Terms;
  Terms.Id = Owner;
  Terms.GuaranteedAccelerators = 8;
  Configuration.Accounts = {Terms};
  Bench.Plan.setConfiguration(Configuration);
  BatchJob Borrowing = Bench.job("j1", 1, 8, 0);
  Borrowing.Account = ClientAccountId("borrower");
  Bench.add(Borrowing);
  ASSERT_EQ(Bench.round().Starts.size(), 1U);
}

TEST(SchedulerTest, GuaranteedWorkReclaimsFromUrgentBorrowers) {
  SchedulerBench Bench;
  Bench.addWorker("w1");
  startBorrower(Bench);
  BatchJob Owned = Bench.job("j2", 1, 8, 0);
  Owned.Account = Owner;
  Bench.add(Owned);
  EXPECT_EQ(Bench.round().Stops.size(), 1U);
}

TEST(SchedulerTest, DrainingWorkerGetsNoNewWork) {
  SchedulerBench Bench;
  WorkerEntry Worker = Bench.addWorker("w1");
  Worker.IsDraining = true;
  Bench.Plan.updateWorker(Worker);
  Bench.add(Bench.job("j1", 1, 1));
  EXPECT_EQ(Bench.round().Starts.size(), 0U);
}

TEST(SchedulerTest, LabelsAndLimitsOfWorkersAreKept) {
  SchedulerBench Bench;
  Bench.addWorker("w1");
  BatchJob Labelled = Bench.job("j1", 1, 1);
  Labelled.Steps[0].RequiredLabel = "b";
  Bench.add(Labelled);
  EXPECT_EQ(Bench.round().Starts.size(), 0U);
  BatchJob Spread = Bench.job("j2", 3, 1);
  Spread.Steps[0].MaxPerWorker = 2;
  Bench.add(Spread);
  EXPECT_EQ(Bench.round().Starts.size(), 2U);
}

TEST(SchedulerTest, OccurrenceIsNotStartedBeforeItsTime) {
  SchedulerBench Bench;
  Bench.addWorker("w1");
  BatchJob Job = Bench.job("j1", 1, 1);
  Job.Schedule = {2, Bench.Exec.now() + absl::Seconds(5), absl::Seconds(5)};
  Bench.add(Job);
  EXPECT_EQ(Bench.round().Starts.size(), 0U);
  EXPECT_TRUE(Bench.Plan.hasWaitingWork());
  Bench.Exec.advance(absl::Seconds(5));
  EXPECT_EQ(Bench.round().Starts.size(), 1U);
  Bench.Exec.advance(absl::Seconds(5));
  EXPECT_EQ(Bench.round().Starts.size(), 1U);
}

// A new leader must not start what a worker that has not answered may run.
TEST(SchedulerTest, TakenOverJobWaitsForTheWorkers) {
  SchedulerBench Bench;
  WorkerEntry Worker = Bench.addWorker("w1");
  BatchJob Job = Bench.job("j1", 2, 1);
  Bench.Plan.addJob(Job, JobProgress(Job), true, Bench.Exec.now());
  EXPECT_EQ(Bench.round().Starts.size(), 0U);
  WorkerReport Report;
  Report.Incarnation = 1;
  Report.Running.push_back({{Job.Id, 0, 0, 1}, 7, "c"});
  Bench.Plan.reportReceived(Worker.Id, Report, Bench.Exec.now(),
                            Bench.Exec.now());
  Bench.Plan.settle();
  Orders Round = Bench.round();
  ASSERT_EQ(Round.Starts.size(), 1U);
  EXPECT_EQ(Round.Starts[0].Task.Index, 0);
}

TEST(SchedulerTest, PartOfAGangThatIsTakenOverIsStopped) {
  SchedulerBench Bench;
  WorkerEntry Worker = Bench.addWorker("w1");
  BatchJob Job = Bench.job("j1", 2, 1);
  Job.Steps[0].IsGang = true;
  Bench.Plan.addJob(Job, JobProgress(Job), true, Bench.Exec.now());
  WorkerReport Report;
  Report.Incarnation = 1;
  Report.Running.push_back({{Job.Id, 0, 0, 1}, 7, ""});
  Bench.Plan.reportReceived(Worker.Id, Report, Bench.Exec.now(),
                            Bench.Exec.now());
  Bench.Plan.settle();
  EXPECT_EQ(Bench.round().Stops.size(), 1U);
}

TEST(SchedulerTest, UnknownRunIsStopped) {
  SchedulerBench Bench;
  WorkerEntry Worker = Bench.addWorker("w1");
  WorkerReport Report;
  Report.Incarnation = 1;
  Report.Running.push_back({{JobId("gone"), 0, 0, 0}, 7, ""});
  Bench.Plan.reportReceived(Worker.Id, Report, Bench.Exec.now(),
                            Bench.Exec.now());
  Orders Round = Bench.round();
  ASSERT_EQ(Round.Stops.size(), 1U);
  EXPECT_EQ(Round.Stops[0].Run, 7);
}

// A worker that fails everything would use up the attempts of many jobs.
TEST(SchedulerTest, WorkerThatFailsEverythingRests) {
  SchedulerBench Bench;
  Bench.addWorker("w1");
  for (int I = 0; I < 2; ++I) {
    BatchJob Job = Bench.job("j" + std::to_string(I), 1, 1);
    Job.MaxAttempts = 1;
    Bench.add(Job);
    Orders Round = Bench.round();
    ASSERT_EQ(Round.Starts.size(), 1U);
    Bench.end(Round.Starts[0], RunOutcome::Failed);
  }
  Bench.addWorker("w2");
  Bench.add(Bench.job("j2", 1, 1));
  Orders Round = Bench.round();
  ASSERT_EQ(Round.Starts.size(), 1U);
  EXPECT_EQ(Round.Starts[0].Worker, WorkerId("w2"));
}

TEST(SchedulerTest, LostWorkerReturnsItsTasks) {
  SchedulerBench Bench;
  WorkerEntry Worker = Bench.addWorker("w1");
  Bench.add(Bench.job("j1", 2, 1));
  ASSERT_EQ(Bench.round().Starts.size(), 2U);
  Bench.Plan.setUsable(Worker.Id, false);
  Bench.addWorker("w2");
  EXPECT_EQ(Bench.round().Starts.size(), 0U);
  Bench.Plan.loseRuns(Worker.Id);
  EXPECT_EQ(Bench.round().Starts.size(), 2U);
}

// The leader that started a task may end before it has written so. Its end
// must not be lost with the next leader, too.
TEST(SchedulerTest, EndOfAJobThatIsRecordedAsQueuedIsKept) {
  SchedulerBench Bench;
  WorkerEntry Worker = Bench.addWorker("w1");
  BatchJob Job = Bench.job("j1", 2, 1);
  Bench.Plan.addJob(Job, JobProgress(Job), true, Bench.Exec.now());
  Bench.end(Worker.Id, {Job.Id, 0, 0, 1}, 7, RunOutcome::Done);
  JobProgress Read(Job);
  ASSERT_TRUE(decodeProgress(Bench.record("j1"), Read).ok());
  EXPECT_EQ(Read.State, BatchState::Running);
  EXPECT_TRUE(Read.task(0, 0, 1).IsDone);
}

// The write of a job's end may fail while its last runs end. Forgetting the
// job then would acknowledge ends that nobody has recorded.
TEST(SchedulerTest, FinishedJobIsKeptUntilItsEndIsWritten) {
  SchedulerBench Bench;
  Bench.addWorker("w1");
  BatchJob Job = Bench.job("j1", 2, 1);
  Job.Steps[0].IsGang = true;
  Bench.add(Job);
  Orders Round = Bench.round();
  Bench.end(Round.Starts[0], RunOutcome::Done);
  std::vector<ProgressChange> Changes = Bench.Plan.takeChanges(10);
  ASSERT_EQ(Changes.size(), 1U);
  Bench.end(Round.Starts[1], RunOutcome::Done);
  Bench.Plan.changeFailed(Job.Id);
  Changes = Bench.Plan.takeChanges(10);
  ASSERT_EQ(Changes.size(), 1U);
  EXPECT_TRUE(Changes[0].IsFinal);
  Bench.Plan.changeWritten(Changes[0]);
  EXPECT_FALSE(Bench.Plan.knowsJob(Job.Id));
}

// Stopping urgent work for urgent work only moves the lateness.
TEST(SchedulerTest, LessUrgentRunsAreStoppedBeforeUrgentBorrowers) {
  SchedulerBench Bench;
  Bench.addWorker("w1");
  Bench.add(Bench.job("j2", 1, 8, 2));
  ASSERT_EQ(Bench.round().Starts.size(), 1U);
  Bench.Exec.advance(absl::Seconds(20));
  Bench.addWorker("w2");
  startBorrower(Bench);
  BatchJob Owned = Bench.job("j0", 1, 8, 0);
  Owned.Account = Owner;
  Bench.add(Owned);
  Orders Round = Bench.round();
  ASSERT_EQ(Round.Stops.size(), 1U);
  EXPECT_EQ(Round.Stops[0].Task.Job, JobId("j2"));
}

// A new leader hears of the ends of several workers in any order. An older
// failure that comes in later counts, too.
TEST(SchedulerTest, FailuresAreCountedInAnyOrder) {
  SchedulerBench Bench;
  WorkerEntry First = Bench.addWorker("w1");
  WorkerEntry Second = Bench.addWorker("w2");
  BatchJob Job = Bench.job("j1", 1, 1);
  Job.MaxAttempts = 2;
  Bench.Plan.addJob(Job, JobProgress(Job), true, Bench.Exec.now());
  TaskKey Task{Job.Id, 0, 0, 0};
  Bench.end(Second.Id, Task, 8, RunOutcome::Failed);
  Bench.end(First.Id, Task, 7, RunOutcome::Failed);
  Bench.Plan.settle();
  EXPECT_EQ(Bench.round().Starts.size(), 0U);
}

/// Plays a minute of small jobs that would fill the fleet and of urgent ones
/// that come each half second, and returns the runs that were stopped.
static size_t stopsUnderLoad(absl::Duration UrgentHeadroom) {
  SchedulerTerms Terms;
  Terms.UrgentHeadroom = UrgentHeadroom;
  SchedulerBench Bench(Terms);
  for (int I = 0; I < 6; ++I)
    Bench.addWorker("w" + std::to_string(I));
  size_t Stops = 0;
  std::multimap<absl::Time, StartOrder> Ends;
  for (int Tick = 0; Tick < 600; ++Tick) {
    absl::Time Now = Bench.Exec.now();
    if (Tick % 5 == 0)
      Bench.add(Bench.job("a" + std::to_string(Tick), 1, 4, 0));
    if (Tick % 10 == 0)
      Bench.add(Bench.job("b" + std::to_string(Tick), 10, 1, 2));
    while (!Ends.empty() && Ends.begin()->first <= Now) {
      Bench.end(Ends.begin()->second, RunOutcome::Done);
      Ends.erase(Ends.begin());
    }
    Orders Round = Bench.round();
    Stops += Round.Stops.size();
    for (const StopOrder &Order : Round.Stops)
      Bench.end(Order.Worker, Order.Task, Order.Run, RunOutcome::Stopped);
    for (const StartOrder &Order : Round.Starts)
      Ends.emplace(Now + absl::Seconds(3), Order);
    Bench.Exec.advance(absl::Milliseconds(100));
  }
  return Stops;
}

// Urgent work that always has to stop other runs starts late, and the stopped
// work is lost. The baseline lets other work fill the fleet.
TEST(SchedulerTest, HeadroomSparesMostStops) {
  size_t Baseline = stopsUnderLoad(absl::ZeroDuration());
  size_t WithHeadroom = stopsUnderLoad(SchedulerTerms().UrgentHeadroom);
  EXPECT_GT(Baseline, 20U);
  EXPECT_LT(WithHeadroom, Baseline / 4);
}

// Guards against a run that goes on for ever: the worker restarted after it had
// answered the stop, and carried out a start that was under way.
TEST(SchedulerTest, StopIsRepeatedIfTheRunIsStillThere) {
  SchedulerBench Bench;
  Bench.addWorker("w1");
  Bench.add(Bench.job("j1", 1, 8));
  Orders First = Bench.round();
  Bench.Plan.cancelJob(JobId("j1"), Bench.Exec.now());
  ASSERT_EQ(Bench.round().Stops.size(), 1U);
  Bench.Exec.advance(absl::Seconds(2));
  WorkerReport Report;
  Report.Incarnation = 1;
  Report.Running.push_back({First.Starts[0].Task, First.Starts[0].Run, ""});
  Bench.Plan.reportReceived(WorkerId("w1"), Report, Bench.Exec.now(),
                            Bench.Exec.now());
  EXPECT_EQ(Bench.round().Stops.size(), 1U);
}

// Guards against a member of a gang that goes on after the gang is done: its
// worker restarted, and carried out a start that was under way.
TEST(SchedulerTest, LeftOverMemberOfADoneGangIsStopped) {
  SchedulerBench Bench;
  Bench.addWorker("w1");
  Bench.addWorker("w2");
  BatchJob Job = Bench.job("j1", 2, 8);
  Job.Steps[0].IsGang = true;
  Bench.add(Job);
  Orders First = Bench.round();
  ASSERT_EQ(First.Starts.size(), 2U);
  Bench.end(First.Starts[0], RunOutcome::Done);
  WorkerReport Report;
  Report.Incarnation = 1;
  Report.Running.push_back({First.Starts[1].Task, First.Starts[1].Run, ""});
  Bench.Plan.reportReceived(First.Starts[1].Worker, Report, Bench.Exec.now(),
                            Bench.Exec.now());
  EXPECT_EQ(Bench.round().Stops.size(), 0U) << "its end may not be listed yet";
  Bench.Exec.advance(absl::Seconds(2));
  Bench.Plan.reportReceived(First.Starts[1].Worker, Report, Bench.Exec.now(),
                            Bench.Exec.now());
  EXPECT_EQ(Bench.round().Stops.size(), 1U);
}
