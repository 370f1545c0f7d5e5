#include "FailureLedger.h"

#include <gtest/gtest.h>

#include <string>

using namespace vanillayard;

namespace {

/// A pool of workers w0, w1, ... and a clock that the test sets.
class FailureLedgerTest : public testing::Test {
protected:
  explicit FailureLedgerTest() { this->usePool(8); }

  void usePool(int Size) {
    this->Pool.clear();
    for (int I = 0; I < Size; ++I)
      this->Pool.push_back(worker(I));
  }
  static WorkerId worker(int Index) {
    return WorkerId("w" + std::to_string(Index));
  }
  /// Fails runs that started one second ago.
  void fail(int Worker, const std::string &Job, int Runs = 1,
            bool HasCompletedTasks = false) {
    for (int I = 0; I < Runs; ++I)
      this->Ledger.runFailed(worker(Worker), JobId(Job),
                             this->Now - absl::Seconds(1), HasCompletedTasks,
                             this->Now);
  }
  RunLimit limitOf(int Worker) const {
    auto Limits = this->Ledger.limits(this->Pool, this->Now);
    auto Found = Limits.find(worker(Worker));
    return Found == Limits.end() ? RunLimit::Unlimited : Found->second;
  }

  FailureLedger Ledger;
  std::vector<WorkerId> Pool;
  absl::Time Now = absl::FromUnixSeconds(1000);
};

} // namespace

// Guards against a long rest after one job whose tasks fail together.
TEST_F(FailureLedgerTest, RunsOfOneJobAreOneObservation) {
  this->fail(0, "a", 8);
  EXPECT_EQ(this->limitOf(0), RunLimit::One);
  this->fail(0, "b");
  EXPECT_EQ(this->limitOf(0), RunLimit::None);
  this->Now += absl::Milliseconds(2001);
  EXPECT_EQ(this->limitOf(0), RunLimit::One);
}

TEST_F(FailureLedgerTest, SingleFailureLimitsNothing) {
  this->fail(0, "a");
  EXPECT_EQ(this->limitOf(0), RunLimit::Unlimited);
}

// Guards against workers that are excluded for the failures of a job that can
// never be done.
TEST_F(FailureLedgerTest, JobThatFailsEverywhereCountsAgainstNoWorker) {
  for (int I = 0; I < 3; ++I)
    this->fail(I, "a", 8);
  for (int I = 0; I < 8; ++I)
    EXPECT_EQ(this->limitOf(I), RunLimit::Unlimited) << "worker " << I;
}

// Guards against faulty workers that are excused by the number of tasks that
// they fail: a job that is done elsewhere is not the cause.
TEST_F(FailureLedgerTest, JobWithCompletedTasksCountsAgainstItsWorkers) {
  for (int I = 0; I < 3; ++I)
    this->fail(I, "a", 8);
  this->Ledger.runDone(worker(5), JobId("a"));
  EXPECT_EQ(this->limitOf(0), RunLimit::One);
  EXPECT_EQ(this->limitOf(1), RunLimit::One);
}

TEST_F(FailureLedgerTest, DoneRunClearsItsWorker) {
  this->fail(0, "a");
  this->fail(0, "b");
  this->Ledger.runDone(worker(0), JobId("c"));
  EXPECT_EQ(this->limitOf(0), RunLimit::Unlimited);
  EXPECT_TRUE(this->Ledger.isEmpty());
}

// A worker that fails everything must get few runs, although each failure is of
// another job.
TEST_F(FailureLedgerTest, FailedProbeDoublesTheRest) {
  this->fail(0, "a");
  this->fail(0, "b");
  this->Now += absl::Seconds(3);
  ASSERT_EQ(this->limitOf(0), RunLimit::One);
  this->fail(0, "b");
  this->Now += absl::Milliseconds(3900);
  EXPECT_EQ(this->limitOf(0), RunLimit::None);
  this->Now += absl::Milliseconds(200);
  EXPECT_EQ(this->limitOf(0), RunLimit::One);
}

// Guards against exclusion of most of the pool: those with the most
// observations stay limited, the others are used.
TEST_F(FailureLedgerTest, AtMostAQuarterOfThePoolIsLimited) {
  for (int I = 0; I < 8; ++I)
    for (int J = 0; J < (I == 6 ? 5 : 2); ++J)
      this->fail(I, "j" + std::to_string(I) + std::to_string(J));
  int Limited = 0;
  for (int I = 0; I < 8; ++I)
    Limited += this->limitOf(I) == RunLimit::Unlimited ? 0 : 1;
  EXPECT_EQ(Limited, 2);
  EXPECT_EQ(this->limitOf(6), RunLimit::None);
}

TEST_F(FailureLedgerTest, OnlyWorkerOfAPoolIsNotLimited) {
  this->usePool(1);
  for (int J = 0; J < 5; ++J)
    this->fail(0, "j" + std::to_string(J));
  EXPECT_EQ(this->limitOf(0), RunLimit::Unlimited);
}

TEST_F(FailureLedgerTest, RestartedWorkerStartsWithoutFailures) {
  this->fail(0, "a");
  this->fail(0, "b");
  this->Ledger.forgetWorker(worker(0));
  EXPECT_EQ(this->limitOf(0), RunLimit::Unlimited);
}
