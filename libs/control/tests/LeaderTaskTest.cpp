#include "ControlWorld.h"
#include "control/RecordKeys.h"

#include <gtest/gtest.h>

#include <set>
#include <utility>

using namespace vanillayard;
using StoreFault = FakeCoordinationStore::Fault;
using OrderFault = FakeWorkerFarm::Fault;

static const std::string Id = "5c0e7a21d94b36f8";

class LeaderTaskTest : public testing::Test {
protected:
  LeaderTaskTest() {
    this->World.addWorkers(4);
    this->World.addHost("a");
    this->World.addHost("b");
    this->World.run(absl::Seconds(1));
  }

  ControlWorld::HostNode &host(const std::string &Name) {
    return this->World.Hosts.at(Name);
  }
  ControlWorld::HostNode &standby() {
    return this->host(this->World.leaderName() == "a" ? "b" : "a");
  }
  /// Runs that began more than once.
  size_t repeatedTasks() const {
    std::set<TaskKey> Tasks;
    for (const FakeWorkerFarm::Begun &Run : this->World.Farm.BegunRuns)
      Tasks.insert(Run.Task);
    return this->World.Farm.BegunRuns.size() - Tasks.size();
  }

  ControlWorld World;
};

TEST_F(LeaderTaskTest, JobFromAnyHostIsRunAndShownAsDone) {
  this->World.submit(this->standby(), Id, this->World.job(3, 2));
  this->World.run(absl::Seconds(3));
  EXPECT_EQ(this->World.Farm.BegunRuns.size(), 3U);
  EXPECT_EQ(*this->World.state(this->host("a"), Id), BatchState::Done);
  EXPECT_EQ(*this->World.state(this->host("b"), Id), BatchState::Done);
}

// Ends that are never acknowledged would fill the worker's list.
TEST_F(LeaderTaskTest, EndsAreAcknowledgedOnceRecorded) {
  this->World.submit(this->host("a"), Id, this->World.job(1, 8));
  this->World.run(absl::Seconds(3));
  ASSERT_EQ(this->World.Farm.BegunRuns.size(), 1U);
  WorkerId Worker = this->World.Farm.BegunRuns[0].Worker;
  EXPECT_EQ(this->World.Farm.acknowledgedEnd(Worker), 1);
}

TEST_F(LeaderTaskTest, EndIsNotAcknowledgedBeforeItIsRecorded) {
  this->World.submit(this->host("a"), Id, this->World.job(1, 8));
  this->World.run(absl::Milliseconds(500));
  this->World.Store.Faults = [](const std::string &Call) {
    return Call == "commit" ? StoreFault::Refuse : StoreFault::None;
  };
  this->World.run(absl::Seconds(3));
  WorkerId Worker = this->World.Farm.BegunRuns.at(0).Worker;
  EXPECT_EQ(this->World.Farm.acknowledgedEnd(Worker), 0);
  this->World.Store.Faults = nullptr;
  this->World.run(absl::Seconds(3));
  EXPECT_EQ(this->World.Farm.acknowledgedEnd(Worker), 1);
}

// Running tasks must go on when the leader dies, and none may run twice.
TEST_F(LeaderTaskTest, SuccessorTakesRunningTasksOver) {
  this->World.Farm.Durations = [](const TaskKey &) { return absl::Seconds(9); };
  this->World.submit(this->standby(), Id, this->World.job(6, 4));
  this->World.run(absl::Seconds(1));
  ASSERT_EQ(this->World.Farm.runningCount(), 6U);
  this->World.killHost(this->World.leaderName());
  this->World.run(absl::Seconds(14));
  EXPECT_EQ(this->repeatedTasks(), 0U);
  ASSERT_NE(this->World.leader(), nullptr);
  EXPECT_EQ(*this->World.state(*this->World.leader(), Id), BatchState::Done);
}

// A worker that the successor cannot reach may still run a task until its
// lease has expired.
TEST_F(LeaderTaskTest, SuccessorWaitsForTheLeaseOfAnUnreachableWorker) {
  this->World.Farm.Durations = [](const TaskKey &) {
    return absl::Seconds(60);
  };
  this->World.submit(this->standby(), Id, this->World.job(1, 8));
  this->World.run(absl::Seconds(1));
  ASSERT_EQ(this->World.Farm.BegunRuns.size(), 1U);
  WorkerId Cut = this->World.Farm.BegunRuns[0].Worker;
  this->World.Farm.Faults = [Cut](const std::string &, const WorkerId &Id) {
    return Id == Cut ? OrderFault::Drop : OrderFault::None;
  };
  this->World.killHost(this->World.leaderName());
  this->World.run(absl::Seconds(20));
  ASSERT_EQ(this->World.Farm.BegunRuns.size(), 2U);
  ASSERT_EQ(this->World.Farm.EndedRuns.size(), 1U);
  EXPECT_EQ(this->World.Farm.EndedRuns[0].Outcome, RunOutcome::Lapsed);
  EXPECT_GE(this->World.Farm.BegunRuns[1].At, this->World.Farm.EndedRuns[0].At);
}

TEST_F(LeaderTaskTest, CancelStopsTheRuns) {
  this->World.Farm.Durations = [](const TaskKey &) {
    return absl::Seconds(60);
  };
  this->World.submit(this->standby(), Id, this->World.job(3, 2));
  this->World.run(absl::Seconds(1));
  this->World.cancel(this->standby(), Id);
  this->World.run(absl::Seconds(2));
  EXPECT_TRUE(this->World.CancelAnswers[Id].ok());
  EXPECT_EQ(this->World.Farm.runningCount(), 0U);
  EXPECT_EQ(*this->World.state(this->host("a"), Id), BatchState::Cancelled);
}

TEST_F(LeaderTaskTest, RestartedWorkerLosesItsRunsAtOnce) {
  this->World.Farm.Durations = [](const TaskKey &) { return absl::Seconds(5); };
  this->World.submit(this->host("a"), Id, this->World.job(1, 8));
  this->World.run(absl::Seconds(1));
  this->World.Farm.restart(this->World.Farm.BegunRuns.at(0).Worker);
  this->World.run(absl::Seconds(8));
  EXPECT_EQ(this->World.Farm.BegunRuns.size(), 2U);
  EXPECT_EQ(*this->World.state(this->host("a"), Id), BatchState::Done);
}

TEST_F(LeaderTaskTest, LostHistoryOfTheStoreLosesNoJob) {
  this->World.Store.Faults = [](const std::string &Call) {
    return Call == "watch" ? StoreFault::Drop : StoreFault::None;
  };
  this->World.run(absl::Seconds(3));
  this->World.submit(this->host("a"), Id, this->World.job(1, 1));
  this->World.run(absl::Milliseconds(100));
  this->World.Store.compact();
  this->World.Store.Faults = nullptr;
  this->World.run(absl::Seconds(6));
  EXPECT_EQ(*this->World.state(this->host("a"), Id), BatchState::Done);
}

// A write whose answer was lost may be carried out after a newer one and must
// not undo it.
TEST_F(LeaderTaskTest, LateWriteDoesNotUndoANewerOne) {
  this->World.submit(this->host("a"), Id, this->World.job(1, 1));
  this->World.run(absl::Milliseconds(30));
  int Commits = 0;
  this->World.Store.Faults = [&](const std::string &Call) {
    return Call == "commit" && ++Commits == 1 ? StoreFault::ApplyLate
                                              : StoreFault::None;
  };
  this->World.run(absl::Seconds(3));
  ASSERT_EQ(*this->World.state(this->host("a"), Id), BatchState::Done);
  this->World.run(absl::Seconds(3));
  EXPECT_EQ(*this->World.state(this->host("a"), Id), BatchState::Done);
}

TEST_F(LeaderTaskTest, WaitingJobsAreCounted) {
  this->World.Farm.Durations = [](const TaskKey &) {
    return absl::Seconds(60);
  };
  this->World.submit(this->host("a"), Id, this->World.job(4, 8));
  this->World.run(absl::Seconds(1));
  this->World.submit(this->host("a"), "00000000000000aa",
                     this->World.job(1, 8));
  this->World.run(absl::Seconds(3));
  int64_t Waiting = -1;
  this->host("b").Desk->waiting(
      this->World.caller(""),
      [&](absl::StatusOr<int64_t> Count) { Waiting = *Count; });
  this->World.run(absl::Milliseconds(100));
  EXPECT_EQ(Waiting, 1);
}

// Records of finished jobs would fill the store.
TEST_F(LeaderTaskTest, FinishedJobsAreDeletedAfterTheirTime) {
  this->World.submit(this->host("a"), Id, this->World.job(1, 1));
  this->World.run(absl::Seconds(100));
  EXPECT_TRUE(this->World.state(this->host("a"), Id).ok());
  this->World.run(absl::Seconds(100));
  EXPECT_EQ(this->World.Store.countBelow("vy/job/"), 0U);
  EXPECT_EQ(this->World.Store.countBelow("vy/progress/"), 0U);
}

TEST_F(LeaderTaskTest, DrainingWorkerIsLeftAlone) {
  for (int I = 0; I < 3; ++I)
    this->World.Farm.setDraining(WorkerId("w" + std::to_string(I)), true);
  this->World.run(absl::Seconds(1));
  this->World.submit(this->host("a"), Id, this->World.job(4, 2));
  this->World.run(absl::Seconds(1));
  for (const FakeWorkerFarm::Begun &Run : this->World.Farm.BegunRuns)
    EXPECT_EQ(Run.Worker, WorkerId("w3"));
  EXPECT_EQ(this->World.Farm.BegunRuns.size(), 4U);
}

// Renewals that are never answered must not keep the lease of a lost worker,
// or its tasks would wait for ever.
TEST_F(LeaderTaskTest, TasksOfAWorkerThatNeverAnswersRunElsewhere) {
  this->World.Farm.Durations = [](const TaskKey &) {
    return absl::Seconds(60);
  };
  this->World.submit(this->host("a"), Id, this->World.job(1, 8));
  this->World.run(absl::Seconds(1));
  WorkerId Lost = this->World.Farm.BegunRuns.at(0).Worker;
  this->World.Farm.Faults = [Lost](const std::string &, const WorkerId &Id) {
    return Id == Lost ? OrderFault::Drop : OrderFault::None;
  };
  this->World.Farm.setRegistered(Lost, false);
  this->World.run(absl::Seconds(12));
  EXPECT_EQ(this->World.Farm.BegunRuns.size(), 2U);
}

// A worker that has left long ago must not hold up the next leader.
TEST_F(LeaderTaskTest, WorkersThatAreGoneLeaveTheRecord) {
  this->World.submit(this->host("a"), Id, this->World.job(1, 1));
  this->World.run(absl::Seconds(2));
  EXPECT_NE(this->World.Store.value("vy/workers").find("w3"),
            std::string::npos);
  this->World.Farm.setRegistered(WorkerId("w3"), false);
  this->World.run(absl::Seconds(10));
  EXPECT_EQ(this->World.Store.value("vy/workers").find("w3"),
            std::string::npos);
}

// A registration that was written long ago must not set the view of a worker's
// clock back: the worker would refuse starts as too late.
TEST_F(LeaderTaskTest, StaleRegistrationDoesNotSetTheClockBack) {
  this->World.submit(this->host("a"), Id, this->World.job(4, 8));
  this->World.run(absl::Seconds(3));
  ASSERT_EQ(this->World.Farm.BegunRuns.size(), 4U);
  this->World.Farm.RegistrationAge = absl::Seconds(20);
  this->World.run(absl::Seconds(30));
  this->World.submit(this->host("a"), "00000000000000aa",
                     this->World.job(4, 8));
  this->World.run(absl::Seconds(3));
  EXPECT_EQ(this->World.Farm.BegunRuns.size(), 8U);
  EXPECT_EQ(this->World.Farm.Calls["start"], 8);
}

// Guards against a second run of a task that was done. The worker restarts, an
// acknowledgement that was meant for its earlier life is carried out late, and
// the worker forgets the end of a new run that nobody has seen.
TEST_F(LeaderTaskTest, LateAcknowledgementRepeatsNoTask) {
  const std::string Second = "5c0e7a21d94b36f9";
  FakeWorkerFarm &Farm = this->World.Farm;
  Farm.Durations = [](const TaskKey &) { return absl::Milliseconds(300); };
  this->World.submit(this->host("a"), Id, this->World.job(1, 8));
  this->World.run(absl::Milliseconds(100));
  ASSERT_EQ(Farm.BegunRuns.size(), 1U);
  WorkerId Worker = Farm.BegunRuns[0].Worker;
  for (const char *Other : {"w0", "w1", "w2", "w3"})
    Farm.setDraining(WorkerId(Other), Worker != WorkerId(Other));
  bool IsRestarted = false;
  Farm.Faults = [&](const std::string &Call, const WorkerId &) {
    if (Call != "renew" || Farm.EndedRuns.empty())
      return OrderFault::None;
    // The first renewal after the end acknowledges it.
    if (!std::exchange(IsRestarted, true)) {
      Farm.restart(Worker);
      return OrderFault::ApplyLate;
    }
    return Farm.BegunRuns.size() > 1 ? OrderFault::Drop : OrderFault::None;
  };
  this->World.run(absl::Seconds(1));
  ASSERT_TRUE(IsRestarted);
  this->World.submit(this->host("b"), Second, this->World.job(1, 8));
  this->World.run(absl::Seconds(3));
  Farm.Faults = nullptr;
  this->World.run(absl::Seconds(30));
  EXPECT_EQ(this->repeatedTasks(), 0U);
  EXPECT_EQ(*this->World.state(this->host("a"), Second), BatchState::Done);
}

// Guards against a gang that is stopped, and starts again seconds later, over
// one start without an answer. The order may be repeated, as the worker starts
// a run only once.
TEST_F(LeaderTaskTest, UnansweredStartIsRepeated) {
  BatchJob Job = this->World.job(3, 8);
  Job.Steps[0].IsGang = true;
  bool IsFirst = true;
  FakeWorkerFarm &Farm = this->World.Farm;
  Farm.Faults = [&IsFirst](const std::string &Call, const WorkerId &) {
    return Call == "start" && std::exchange(IsFirst, false)
               ? OrderFault::ApplyLate
               : OrderFault::None;
  };
  Farm.Durations = [](const TaskKey &) { return absl::Milliseconds(500); };
  this->World.submit(this->host("a"), Id, Job);
  this->World.run(absl::Milliseconds(1200));
  EXPECT_EQ(*this->World.state(this->host("a"), Id), BatchState::Done);
  // The late order arrives when the run is over.
  this->World.run(absl::Seconds(5));
  EXPECT_EQ(Farm.BegunRuns.size(), 3U);
  EXPECT_EQ(Farm.Calls["stop"], 0);
}
