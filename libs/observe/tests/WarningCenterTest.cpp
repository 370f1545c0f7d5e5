#include "observe/WarningCenter.h"

#include "base/VirtualExecutor.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <optional>

using namespace vanillayard;

// Guards against a rule that belongs to another condition or is incomplete.
TEST(WarningConditionTest, TableIsInOrderOfTheEnum) {
  int Index = 0;
  for (const WarningRule &Rule : warningTable()) {
    EXPECT_EQ(static_cast<int>(Rule.Condition), Index++) << Rule.Name;
    EXPECT_EQ(parseWarningCondition(Rule.Name), Rule.Condition);
    EXPECT_GT(Rule.HoldTime, absl::ZeroDuration());
    EXPECT_FALSE(Rule.Action.empty());
  }
}

// Test oracle: evaluates the rules step by step and stores for each condition
// the time since which it has held while none of its causes held.
struct WarningOracle {
  struct State {
    absl::Time HeldSince;
    bool Reported = false;
  };
  std::map<WarningCondition, State> Held;
  std::map<WarningCondition, int> Issued;
  std::optional<WarningCondition> Remote;

  bool isExplained(WarningCondition C) const {
    auto Causes = warningRuleFor(C).Causes;
    return std::any_of(Causes.begin(), Causes.end(), [this](auto Cause) {
      return this->Held.count(Cause) > 0 || this->Remote == Cause;
    });
  }
  void step(absl::Time Now) {
    for (auto &[C, S] : this->Held) {
      if (this->Remote == C)
        S.Reported = true;
      if (this->isExplained(C))
        S.HeldSince = Now;
      if (S.Reported || Now - S.HeldSince < warningRuleFor(C).HoldTime)
        continue;
      S.Reported = true;
      ++this->Issued[C];
    }
  }
};

static constexpr absl::Duration Step = absl::Minutes(1);

// Guards against warnings that are early, repeated, missing, issued for the
// effect of a known cause, or issued by two hosts.
RC_GTEST_PROP(WarningCenterTest, WarnsLikeTheOracle, ()) {
  VirtualExecutor Exec;
  std::map<WarningCondition, int> Issued;
  WarningCenter Center(Exec,
                       [&](const Warning &W) { ++Issued[W.Key.Condition]; });
  WarningOracle Oracle;
  auto Condition = rc::gen::elementOf(std::vector<WarningCondition>{
      WarningCondition::StoreUnavailable, WarningCondition::NoConfiguration,
      WarningCondition::DataCentreUnreachable, WarningCondition::HostMissing});
  for (int I = 0; I < 40; ++I) {
    WarningCondition C = *Condition;
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
    case 1:
    case 2:
      Center.raise({C, ""}, "detail");
      Oracle.Held.try_emplace(C, WarningOracle::State{Exec.now()});
      break;
    case 3:
    case 4:
      Center.clear({C, ""});
      Oracle.Held.erase(C);
      break;
    default:
      Oracle.Remote.reset();
      if (*rc::gen::arbitrary<bool>())
        Oracle.Remote = C;
      Center.setRemoteWarnings(
          HostId("e2"), Oracle.Remote
                            ? std::vector<WarningKey>{{*Oracle.Remote, ""}}
                            : std::vector<WarningKey>{});
    }
    Oracle.step(Exec.now());
    for (int Steps = *rc::gen::inRange(0, 8); Steps > 0; --Steps) {
      Exec.advance(Step);
      Oracle.step(Exec.now());
    }
    RC_ASSERT(Issued == Oracle.Issued);
  }
}

// Guards against several hosts that warn of the same condition at once.
TEST(WarningCenterTest, TheHostOfLowestRankWarnsForAll) {
  VirtualExecutor Exec;
  int Issued = 0;
  auto Count = [&](const Warning &) { ++Issued; };
  WarningCenter First(Exec, Count);
  WarningCenter Second(Exec, Count);
  Second.setRank(1);
  WarningKey Key{WarningCondition::StoreUnavailable, ""};
  First.raise(Key, "timeout");
  Second.raise(Key, "timeout");
  for (int Seconds = 0; Seconds < 3600; ++Seconds) {
    Exec.advance(absl::Seconds(1));
    Second.setRemoteWarnings(HostId("e1"), First.announcedKeys());
    First.setRemoteWarnings(HostId("e2"), Second.announcedKeys());
  }
  EXPECT_EQ(Issued, 1);
  EXPECT_EQ(Second.announcedKeys().size(), 1u);
}
