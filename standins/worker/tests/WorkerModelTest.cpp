#include "standin_worker/WorkerModel.h"

#include "base/ErrorKind.h"
#include "base/VirtualExecutor.h"
#include "standin_worker/TaskBody.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

using namespace vanillayard;

static const Epoch FirstEpoch{1, HostId("a")};

static LeaseRequest leaseRequest(const std::string &Id, int Slots = 1) {
  LeaseRequest Request;
  Request.Lease = LeaseId(Id);
  Request.Owner = "owner-" + Id;
  Request.Slots = Slots;
  Request.Holder = FirstEpoch;
  return Request;
}

class WorkerModelTest : public testing::Test {
protected:
  VirtualExecutor Exec;
  std::unique_ptr<WorkerModel> Model = *WorkerModel::Builder(this->Exec)
                                            .name(WorkerId("w"))
                                            .slots(4)
                                            .connections(2)
                                            .build();
  std::vector<absl::StatusOr<TaskResult>> Results;

  WorkerModel::Waiter collect() {
    return [this](auto Result) { this->Results.push_back(std::move(Result)); };
  }
  ErrorKind startError(const std::string &Id, const Epoch &Holder) {
    auto Started = this->Model->start(LeaseId(Id), Holder, "body");
    EXPECT_FALSE(Started.ok());
    return errorKindOf(Started.status());
  }
};

// Guards against a delayed start that runs a task after the worker told the
// caller that the task never started.
TEST_F(WorkerModelTest, RevokedLeaseNeverStarts) {
  ASSERT_TRUE(this->Model->acquire(leaseRequest("held")).ok());
  EXPECT_EQ(this->Model->revoke(LeaseId("held")), RevokeResult::NeverStarted);
  EXPECT_EQ(this->Model->revoke(LeaseId("unseen")), RevokeResult::Unknown);
  for (const char *Id : {"held", "unseen"}) {
    EXPECT_EQ(this->startError(Id, FirstEpoch), ErrorKind::Conflict);
    EXPECT_EQ(errorKindOf(this->Model->acquire(leaseRequest(Id)).status()),
              ErrorKind::Conflict);
    EXPECT_EQ(this->Model->query(LeaseId(Id)).State, LeaseState::Revoked);
  }
  EXPECT_EQ(this->Model->revoke(LeaseId("unseen")), RevokeResult::Unknown)
      << "a tombstone does not prove that the task never ran";
  EXPECT_TRUE(this->Model->executions().empty());
}

// Guards against a second run when the caller repeats a call whose answer was
// lost.
TEST_F(WorkerModelTest, RepeatedStartReturnsTheSameRun) {
  std::string Body = TaskBody::make(absl::Milliseconds(100), "x", 300);
  this->Model->run(leaseRequest("r"), Body, this->collect());
  this->Exec.advance(absl::Milliseconds(50));
  this->Model->run(leaseRequest("r"), Body, this->collect());
  this->Exec.advance(absl::Milliseconds(50));
  this->Model->run(leaseRequest("r"), Body, this->collect());
  ASSERT_EQ(this->Results.size(), 3u);
  for (const auto &Result : this->Results) {
    ASSERT_TRUE(Result.ok());
    EXPECT_TRUE(TaskBody::isResultOf(Result->Body, "owner-r", Body));
    EXPECT_GE(Result->Body.size(), 300u);
  }
  EXPECT_EQ(this->Model->executions().size(), 1u);
  this->Exec.advance(WorkerModel::RunResultRetention);
  EXPECT_EQ(this->Model->query(LeaseId("r")).State, LeaseState::Unknown);
}

// Guards against a former planner whose calls take effect after another
// planner has taken over.
TEST_F(WorkerModelTest, RefusesLowerEpoch) {
  const Epoch Higher{1, HostId("b")};
  LeaseId Id("l");
  ASSERT_TRUE(this->Model->acquire(leaseRequest("l")).ok());
  EXPECT_EQ(this->Model->renew({Id}, Higher, absl::Seconds(10)).Renewed.size(),
            1u);
  EXPECT_EQ(this->Model->renew({Id}, FirstEpoch, absl::Seconds(99)).Refused,
            std::vector<LeaseId>{Id});
  EXPECT_EQ(this->startError("l", FirstEpoch), ErrorKind::Conflict);
  EXPECT_FALSE(this->Model->stop(Id, FirstEpoch).ok());
  EXPECT_FALSE(this->Model->acquire(leaseRequest("l")).ok());
  EXPECT_TRUE(this->Model->start(Id, Higher, "body").ok());
}

// Guards against a task that keeps running after its owner stopped renewing
// the lease.
TEST_F(WorkerModelTest, LeaseExpiresOnTheWorkersClock) {
  LeaseId Id("l");
  ASSERT_TRUE(this->Model->acquire(leaseRequest("l")).ok());
  ASSERT_TRUE(
      this->Model->start(Id, FirstEpoch, TaskBody::make(absl::Hours(1))).ok());
  this->Exec.advance(absl::Seconds(9));
  this->Model->renew({Id}, FirstEpoch, absl::Seconds(10));
  this->Exec.advance(absl::Seconds(9));
  EXPECT_EQ(this->Model->query(Id).State, LeaseState::Running);
  this->Exec.advance(absl::Seconds(1));
  EXPECT_EQ(this->Model->query(Id).State, LeaseState::Expired);
  EXPECT_EQ(this->Model->revoke(Id), RevokeResult::Finished);
  EXPECT_EQ(this->Model->freeSlots(), 4);
}

// Guards against a checkpoint, throttle or stop that has no effect on the task.
TEST_F(WorkerModelTest, CheckpointsThrottlesAndStopsARunningTask) {
  LeaseId Id("l");
  LeaseRequest Request = leaseRequest("l");
  Request.Ttl = absl::Hours(1);
  ASSERT_TRUE(this->Model->acquire(Request).ok());
  ASSERT_TRUE(
      this->Model->start(Id, FirstEpoch, TaskBody::make(absl::Seconds(4)))
          .ok());
  EXPECT_FALSE(this->Model->checkpoint(Id, FirstEpoch)->Checkpointed);
  this->Exec.advance(absl::Seconds(2));
  EXPECT_TRUE(this->Model->checkpoint(Id, FirstEpoch)->Checkpointed);
  this->Model->throttle(Id, FirstEpoch, 0.5).IgnoreError();
  this->Exec.advance(absl::Milliseconds(3999));
  EXPECT_EQ(this->Model->query(Id).State, LeaseState::Running);
  EXPECT_EQ(this->Model->stop(Id, FirstEpoch)->State, LeaseState::Stopped);
  EXPECT_EQ(this->Model->release(Id)->State, LeaseState::Stopped);
  EXPECT_EQ(this->Model->revoke(Id), RevokeResult::Finished);
}

// Guards against a worker that exceeds its slots or connections, grants leases
// while it drains, or ignores setFailEverything().
TEST_F(WorkerModelTest, EnforcesLimitsDrainingAndFailures) {
  std::string Long = TaskBody::make(absl::Seconds(5));
  this->Model->run(leaseRequest("a", 3), Long, this->collect());
  this->Model->run(leaseRequest("b", 2), Long, this->collect());
  ASSERT_EQ(this->Results.size(), 1u) << "no slot is left for the second";
  EXPECT_EQ(errorKindOf(this->Results[0].status()), ErrorKind::NoCapacity);
  this->Model->run(leaseRequest("c"), Long, this->collect());
  this->Model->run(leaseRequest("d", 0), Long, this->collect());
  ASSERT_EQ(this->Results.size(), 2u) << "both connections are in use";
  EXPECT_EQ(errorKindOf(this->Results[1].status()), ErrorKind::NoCapacity);
  EXPECT_EQ(this->Model->executions().size(), 2u);
  this->Exec.advance(absl::Seconds(5));
  this->Model->setDraining(true);
  EXPECT_EQ(errorKindOf(this->Model->acquire(leaseRequest("e")).status()),
            ErrorKind::NoCapacity);
  this->Model->setDraining(false);
  this->Model->setFailEverything(true);
  this->Model->run(leaseRequest("f"), Long, this->collect());
  this->Exec.advance(absl::Milliseconds(1));
  ASSERT_EQ(this->Results.size(), 5u);
  EXPECT_EQ(errorKindOf(this->Results[4].status()), ErrorKind::TaskFailed);
}

// Guards against a status poll that answers "unchanged" for a changed status.
TEST_F(WorkerModelTest, VersionChangesWithDelayedUsage) {
  std::string Idle = this->Model->version();
  EXPECT_EQ(this->Model->version(), Idle);
  ASSERT_TRUE(this->Model->acquire(leaseRequest("a", 2)).ok());
  std::string Held = this->Model->version();
  EXPECT_NE(Held, Idle);
  EXPECT_EQ(this->Model->status().Usage, 0);
  this->Exec.advance(absl::Seconds(2));
  EXPECT_EQ(this->Model->status().Usage, 0.5);
  EXPECT_NE(this->Model->version(), Held);
}

namespace {

/// One step of the fuzz test, interpreted by FuzzRun.
struct Step {
  int Operation = 0;
  int Lease = 0;
  int Term = 0;
  int Amount = 0;
};

void showValue(const Step &S, std::ostream &Out) {
  Out << "op " << S.Operation << " lease " << S.Lease << " term " << S.Term
      << " amount " << S.Amount;
}

/// Runs steps against a model and checks the lease invariants with an oracle
/// that uses only the model's answers and its execution log.
class FuzzRun {
public:
  static constexpr int Operations = 10;

  void apply(const Step &S) {
    LeaseId Id("l" + std::to_string(S.Lease));
    Epoch Holder{S.Term, HostId("h")};
    LeaseRequest Request = leaseRequest(Id.str(), S.Amount % 3);
    Request.Holder = Holder;
    Request.Accelerators = {S.Amount % 2, 2};
    Request.Ttl = absl::Seconds(S.Amount + 1);
    std::string Body = TaskBody::make(absl::Seconds(S.Amount % 5));
    switch (S.Operation) {
    case 0:
      return this->recordAccepted(Id, Holder,
                                  this->Model->acquire(Request).ok());
    case 1:
      return this->recordAccepted(
          Id, Holder, this->Model->start(Id, Holder, Body).ok(), true);
    case 2:
      return this->Model->run(Request, Body, [](const auto &) {});
    case 3:
      return this->revoke(Id);
    case 4:
      return this->recordAccepted(Id, Holder,
                                  this->Model->stop(Id, Holder).ok(), true);
    case 5:
      this->Model->release(Id).IgnoreError();
      return;
    case 6:
      this->Model->renew({Id}, Holder, absl::Seconds(S.Amount));
      return;
    case 7:
      this->Model->throttle(Id, Holder, S.Amount / 8.0).IgnoreError();
      return;
    case 8:
      this->Model->checkpoint(Id, Holder).IgnoreError();
      return;
    default:
      this->Exec.advance(absl::Seconds(S.Amount) / 2);
    }
  }

  void check() const {
    std::set<LeaseId> Started;
    std::set<int> UsedAccelerators;
    for (const ExecutionRecord &Run : this->Model->executions()) {
      RC_ASSERT(Started.insert(Run.Lease).second);
      RC_ASSERT(!this->NeverStarted.contains(Run.Lease));
      if (Run.State != LeaseState::Running)
        continue;
      for (int Index : Run.Accelerators)
        RC_ASSERT(UsedAccelerators.insert(Index).second);
    }
    RC_ASSERT(this->Model->freeSlots() >= 0);
  }

private:
  /// Checks that a successful call on an existing lease does not have a lower
  /// epoch than an earlier successful one.
  void recordAccepted(const LeaseId &Id, const Epoch &Holder, bool Ok,
                      bool IgnoreGone = false) {
    LeaseState State = this->Model->query(Id).State;
    bool IsGone = State == LeaseState::Unknown ||
                  State == LeaseState::Revoked || State == LeaseState::Expired;
    if (!Ok || (IgnoreGone && IsGone))
      return;
    auto [Highest, New] = this->Accepted.emplace(Id, Holder);
    RC_ASSERT(!(Holder < Highest->second));
    Highest->second = Holder;
  }

  void revoke(const LeaseId &Id) {
    RevokeResult Result = this->Model->revoke(Id);
    if (Result == RevokeResult::NeverStarted)
      this->NeverStarted.insert(Id);
  }

  VirtualExecutor Exec;
  std::unique_ptr<WorkerModel> Model = *WorkerModel::Builder(this->Exec)
                                            .name(WorkerId("w"))
                                            .slots(4)
                                            .accelerators(3)
                                            .build();
  std::map<LeaseId, Epoch> Accepted;
  std::set<LeaseId> NeverStarted;
};

} // namespace

// For any order of calls, guards against: a second run under one lease id; a
// run after the answer "never started"; calls under an old epoch (Step::Term)
// that take effect; two tasks on one accelerator.
RC_GTEST_PROP(WorkerModelFuzzTest, KeepsLeaseInvariants, ()) {
  auto Steps = *rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
      rc::gen::set(&Step::Operation, rc::gen::inRange(0, FuzzRun::Operations)),
      rc::gen::set(&Step::Lease, rc::gen::inRange(0, 4)),
      rc::gen::set(&Step::Term, rc::gen::inRange(1, 4)),
      rc::gen::set(&Step::Amount, rc::gen::inRange(0, 9))));
  FuzzRun Run;
  for (const Step &S : Steps) {
    Run.apply(S);
    Run.check();
  }
}
