#include "ControlWorld.h"
#include "control/LeaderRoleListener.h"
#include "control/RecordKeys.h"

#include <gtest/gtest.h>

using namespace vanillayard;
using Fault = FakeCoordinationStore::Fault;

namespace {

struct Candidate final : LeaderRoleListener {
  void roleGained(int64_t Fence) override { this->Fences.push_back(Fence); }
  void roleLost() override { ++this->Losses; }

  std::vector<int64_t> Fences;
  int Losses = 0;
};

} // namespace

class LeaderRoleTest : public testing::Test {
protected:
  std::unique_ptr<LeaderRole> make(Candidate &Listener, const char *Name) {
    return LeaderRole::Builder(this->World.Exec, this->World.Store,
                               this->World.Clock, this->World.Events)
        .host(HostId(Name))
        .listener(Listener)
        .build();
  }

  ControlWorld World;
};

TEST_F(LeaderRoleTest, OneOfTwoHostsLeads) {
  Candidate A, B;
  auto RoleA = this->make(A, "a");
  auto RoleB = this->make(B, "b");
  RoleA->start();
  RoleB->start();
  this->World.run(absl::Seconds(10));
  EXPECT_EQ(A.Fences.size() + B.Fences.size(), 1U);
  EXPECT_NE(RoleA->mayStart(), RoleB->mayStart());
}

// Workers follow the highest token, so a successor's has to be higher.
TEST_F(LeaderRoleTest, SuccessorHasAHigherFence) {
  Candidate A, B;
  auto RoleA = this->make(A, "a");
  RoleA->start();
  this->World.run(absl::Seconds(1));
  ASSERT_EQ(A.Fences.size(), 1U);
  auto RoleB = this->make(B, "b");
  RoleB->start();
  this->World.run(absl::Seconds(1));
  RoleA.reset();
  this->World.run(absl::Seconds(6));
  ASSERT_EQ(B.Fences.size(), 1U);
  EXPECT_GT(B.Fences[0], A.Fences[0]);
}

TEST_F(LeaderRoleTest, ResignedRolePassesAtOnce) {
  Candidate A, B;
  auto RoleA = this->make(A, "a");
  RoleA->start();
  this->World.run(absl::Seconds(1));
  auto RoleB = this->make(B, "b");
  RoleB->start();
  this->World.run(absl::Seconds(1));
  bool IsDone = false;
  RoleA->resign([&] { IsDone = true; });
  this->World.run(absl::Milliseconds(100));
  EXPECT_TRUE(IsDone);
  EXPECT_EQ(A.Losses, 1);
  EXPECT_TRUE(RoleB->mayStart());
}

// A leader that cannot confirm its role must not start what its successor may
// start, but keeps running work alive for a while.
TEST_F(LeaderRoleTest, UnconfirmedRoleStartsNothing) {
  Candidate A;
  auto RoleA = this->make(A, "a");
  RoleA->start();
  this->World.run(absl::Seconds(1));
  this->World.Store.Faults = [](const std::string &) { return Fault::Drop; };
  this->World.run(absl::Seconds(4));
  EXPECT_FALSE(RoleA->mayStart());
  EXPECT_TRUE(RoleA->isLeader());
  absl::Duration Left = RoleA->leaseAllowance(absl::Seconds(6));
  EXPECT_GT(Left, absl::ZeroDuration());
  EXPECT_LT(Left, absl::Seconds(6));
  this->World.run(absl::Seconds(8));
  EXPECT_FALSE(RoleA->isLeader());
  EXPECT_EQ(A.Losses, 1);
}

// The claim takes effect although its answer is lost.
TEST_F(LeaderRoleTest, LostAnswerToTheClaimIsRecovered) {
  Candidate A;
  int Commits = 0;
  this->World.Store.Faults = [&](const std::string &Call) {
    return Call == "commit" && ++Commits == 1 ? Fault::LoseAnswer : Fault::None;
  };
  auto RoleA = this->make(A, "a");
  RoleA->start();
  this->World.run(absl::Seconds(10));
  EXPECT_TRUE(RoleA->mayStart());
}

TEST_F(LeaderRoleTest, ExpiredLeaseIsNoticedAndTheRoleGainedAgain) {
  Candidate A;
  auto RoleA = this->make(A, "a");
  RoleA->start();
  this->World.run(absl::Seconds(1));
  this->World.Store.expireAllLeases();
  this->World.run(absl::Seconds(3));
  EXPECT_EQ(A.Losses, 1);
  ASSERT_EQ(A.Fences.size(), 2U);
  EXPECT_GT(A.Fences[1], A.Fences[0]);
}

// The leader's key is old as a rule; following it must not flood the store.
TEST_F(LeaderRoleTest, ShortHistoryCausesNoFlood) {
  Candidate A, B;
  auto RoleA = this->make(A, "a");
  RoleA->start();
  this->World.run(absl::Seconds(1));
  this->World.Store.put("other", "x");
  this->World.Store.compact();
  auto RoleB = this->make(B, "b");
  RoleB->start();
  this->World.run(absl::Seconds(10));
  EXPECT_LT(this->World.Store.Calls["get"] + this->World.Store.Calls["watch"],
            30);
}
