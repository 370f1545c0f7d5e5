#include "SimulatedCluster.h"
#include "control/LeaderRoleListener.h"
#include "control/RecordKeys.h"

#include <gtest/gtest.h>

using namespace vanillayard;
using Fault = FakeCoordinationStore::Fault;

namespace {

/// Records when one host gains and loses the role.
struct RecordingListener final : LeaderRoleListener {
  void roleGained(int64_t Fence) override { this->Fences.push_back(Fence); }
  void roleReclaimed(int64_t KeyRevision) override {
    this->Reclaims.push_back(KeyRevision);
  }
  void roleLost() override { ++this->Losses; }

  std::vector<int64_t> Fences;
  std::vector<int64_t> Reclaims;
  int Losses = 0;
};

} // namespace

class LeaderRoleTest : public testing::Test {
protected:
  std::unique_ptr<LeaderRole> makeRole(RecordingListener &Listener,
                                       const char *Name) {
    return LeaderRole::Builder(this->Cluster.Exec, this->Cluster.Store,
                               this->Cluster.Clock, this->Cluster.Events)
        .host(HostId(Name))
        .listener(Listener)
        .build();
  }

  SimulatedCluster Cluster;
};

TEST_F(LeaderRoleTest, OneOfTwoHostsLeads) {
  RecordingListener A, B;
  auto RoleA = this->makeRole(A, "a");
  auto RoleB = this->makeRole(B, "b");
  RoleA->start();
  RoleB->start();
  this->Cluster.runFor(absl::Seconds(10));
  EXPECT_EQ(A.Fences.size() + B.Fences.size(), 1U);
  EXPECT_NE(RoleA->isConfirmed(), RoleB->isConfirmed());
}

// Guards against a successor whose orders the workers refuse: they accept only
// the highest fencing token that they have seen, or a higher one.
TEST_F(LeaderRoleTest, SuccessorHasAHigherFence) {
  RecordingListener A, B;
  auto RoleA = this->makeRole(A, "a");
  RoleA->start();
  this->Cluster.runFor(absl::Seconds(1));
  ASSERT_EQ(A.Fences.size(), 1U);
  auto RoleB = this->makeRole(B, "b");
  RoleB->start();
  this->Cluster.runFor(absl::Seconds(1));
  RoleA.reset();
  this->Cluster.runFor(absl::Seconds(6));
  ASSERT_EQ(B.Fences.size(), 1U);
  EXPECT_GT(B.Fences[0], A.Fences[0]);
}

TEST_F(LeaderRoleTest, ResignedRolePassesAtOnce) {
  RecordingListener A, B;
  auto RoleA = this->makeRole(A, "a");
  RoleA->start();
  this->Cluster.runFor(absl::Seconds(1));
  auto RoleB = this->makeRole(B, "b");
  RoleB->start();
  this->Cluster.runFor(absl::Seconds(1));
  bool IsDone = false;
  RoleA->resign([&] { IsDone = true; });
  this->Cluster.runFor(absl::Milliseconds(100));
  EXPECT_TRUE(IsDone);
  EXPECT_EQ(A.Losses, 1);
  EXPECT_TRUE(RoleB->isConfirmed());
}

// Guards against starts by a leader that cannot confirm its role: a successor
// may start the same tasks. The leader may still extend the leases of running
// tasks for a limited time.
TEST_F(LeaderRoleTest, UnconfirmedRoleStartsNothing) {
  RecordingListener A;
  auto RoleA = this->makeRole(A, "a");
  RoleA->start();
  this->Cluster.runFor(absl::Seconds(1));
  this->Cluster.Store.Faults = [](const std::string &) { return Fault::Drop; };
  this->Cluster.runFor(absl::Seconds(4));
  EXPECT_FALSE(RoleA->isConfirmed());
  EXPECT_TRUE(RoleA->isLeader());
  absl::Duration Left = RoleA->maxWorkerLease(absl::Seconds(6));
  EXPECT_GT(Left, absl::ZeroDuration());
  EXPECT_LT(Left, absl::Seconds(6));
  this->Cluster.runFor(absl::Seconds(8));
  EXPECT_FALSE(RoleA->isLeader());
  EXPECT_EQ(A.Losses, 1);
}

// Guards against a role that nobody uses because the store applied the claim
// but the answer was lost.
TEST_F(LeaderRoleTest, LostAnswerToTheClaimIsRecovered) {
  RecordingListener A;
  int Commits = 0;
  this->Cluster.Store.Faults = [&](const std::string &Call) {
    return Call == "commit" && ++Commits == 1 ? Fault::LoseAnswer : Fault::None;
  };
  auto RoleA = this->makeRole(A, "a");
  RoleA->start();
  this->Cluster.runFor(absl::Seconds(10));
  EXPECT_TRUE(RoleA->isConfirmed());
}

// Guards against a leader that loses its state, and with it the work under way,
// because its key has expired in an outage in which nobody could take its role.
TEST_F(LeaderRoleTest, ExpiredKeyIsWrittenAgainAndTheRoleKept) {
  RecordingListener A, B;
  auto RoleA = this->makeRole(A, "a");
  RoleA->start();
  this->Cluster.runFor(absl::Seconds(1));
  auto RoleB = this->makeRole(B, "b");
  RoleB->start();
  this->Cluster.runFor(absl::Seconds(1));
  for (Fault Kind : {Fault::Refuse, Fault::Drop}) {
    A.Reclaims.clear();
    this->Cluster.Store.Faults = [Kind](const std::string &) { return Kind; };
    this->Cluster.runFor(absl::Seconds(4));
    this->Cluster.Store.expireAllLeases();
    EXPECT_FALSE(RoleA->isConfirmed());
    this->Cluster.runFor(absl::Seconds(1));
    this->Cluster.Store.Faults = nullptr;
    this->Cluster.runFor(absl::Seconds(3));
    EXPECT_TRUE(RoleA->isConfirmed());
    ASSERT_EQ(A.Reclaims.size(), 1U);
    EXPECT_GT(A.Reclaims[0], A.Fences[0]);
  }
  EXPECT_EQ(A.Losses, 0);
  EXPECT_EQ(A.Fences.size(), 1U);
  EXPECT_TRUE(B.Fences.empty());
}

// Guards against a leader that keeps its state although another host has held
// the role meanwhile, also if that host has given it up again.
TEST_F(LeaderRoleTest, RoleHeldByAnotherHostMeanwhileIsLost) {
  RecordingListener A, B;
  auto RoleA = this->makeRole(A, "a");
  RoleA->start();
  this->Cluster.runFor(absl::Seconds(1));
  this->Cluster.Store.Faults = [](const std::string &Call) {
    return Call == "keep" ? Fault::Drop : Fault::None;
  };
  this->Cluster.Store.expireAllLeases();
  auto RoleB = this->makeRole(B, "b");
  RoleB->start();
  this->Cluster.runFor(absl::Milliseconds(500));
  ASSERT_EQ(B.Fences.size(), 1U);
  RoleB->resign([] {});
  this->Cluster.runFor(absl::Milliseconds(100));
  this->Cluster.Store.Faults = nullptr;
  this->Cluster.runFor(absl::Seconds(6));
  EXPECT_EQ(A.Losses, 1);
  EXPECT_TRUE(A.Reclaims.empty());
  ASSERT_EQ(A.Fences.size(), 2U);
  EXPECT_GT(A.Fences[1], B.Fences[0]);
}

// Guards against losing the role because the store applied the rewritten key
// but the answer was lost, or came late.
TEST_F(LeaderRoleTest, LostAnswerToTheRewrittenKeyIsRecovered) {
  for (Fault Kind : {Fault::LoseAnswer, Fault::ApplyLate}) {
    RecordingListener A;
    auto RoleA = this->makeRole(A, "a");
    RoleA->start();
    this->Cluster.runFor(absl::Seconds(6));
    ASSERT_EQ(A.Fences.size(), 1U);
    int Commits = 0;
    this->Cluster.Store.Faults = [&](const std::string &Call) {
      return Call == "commit" && ++Commits == 1 ? Kind : Fault::None;
    };
    this->Cluster.Store.expireAllLeases();
    this->Cluster.runFor(absl::Seconds(6));
    EXPECT_TRUE(RoleA->isConfirmed());
    EXPECT_EQ(A.Losses, 0);
    EXPECT_EQ(A.Fences.size(), 1U);
    this->Cluster.Store.Faults = nullptr;
  }
}

// Guards against starts while the role may be another host's, when a write has
// shown that the leader's key is missing.
TEST_F(LeaderRoleTest, VerifiedRoleIsUnconfirmedUntilTheKeyIsWritten) {
  RecordingListener A;
  auto RoleA = this->makeRole(A, "a");
  RoleA->start();
  this->Cluster.runFor(absl::Seconds(1));
  ASSERT_TRUE(RoleA->isConfirmed());
  this->Cluster.Store.expireAllLeases();
  RoleA->verify();
  EXPECT_FALSE(RoleA->isConfirmed());
  this->Cluster.runFor(absl::Milliseconds(100));
  EXPECT_TRUE(RoleA->isConfirmed());
  EXPECT_EQ(A.Reclaims.size(), 1U);
  // A key that is still there is kept.
  RoleA->verify();
  EXPECT_FALSE(RoleA->isConfirmed());
  this->Cluster.runFor(absl::Milliseconds(100));
  EXPECT_TRUE(RoleA->isConfirmed());
  EXPECT_EQ(A.Reclaims.size(), 1U);
  EXPECT_EQ(A.Losses, 0);
}

// Guards against reading the leader's key in a loop without delay when its last
// change is older than the history that the store keeps, which is the usual
// case.
TEST_F(LeaderRoleTest, ShortHistoryCausesNoReadLoop) {
  RecordingListener A, B;
  auto RoleA = this->makeRole(A, "a");
  RoleA->start();
  this->Cluster.runFor(absl::Seconds(1));
  this->Cluster.Store.put("other", "x");
  this->Cluster.Store.compact();
  auto RoleB = this->makeRole(B, "b");
  RoleB->start();
  this->Cluster.runFor(absl::Seconds(10));
  EXPECT_LT(this->Cluster.Store.Calls["get"] +
                this->Cluster.Store.Calls["watch"],
            30);
}
