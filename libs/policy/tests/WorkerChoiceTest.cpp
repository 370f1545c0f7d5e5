#include "policy/ConcurrencyLimiter.h"
#include "policy/DataCentreSelector.h"
#include "policy/RetryPolicy.h"
#include "policy/WorkerHealth.h"
#include "policy/WorkerSelector.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

using namespace vanillayard;

static const absl::Time Start = absl::FromUnixSeconds(1000000);

// Guards against the choice of a worker that is not usable or was already
// tried, and against choosing none although one is usable.
RC_GTEST_PROP(WorkerSelectorTest, PicksOnlyUsableWorkersAndAlwaysOne, ()) {
  auto Selector = WorkerSelector::create(
      *rc::gen::element(WorkerChoice::PowerOfTwo, WorkerChoice::Random), 7);
  std::vector<WorkerCandidate> Workers(*rc::gen::inRange<size_t>(0, 60));
  for (WorkerCandidate &W : Workers)
    W = {*rc::gen::inRange(0, 3), *rc::gen::inRange(0, 3),
         *rc::gen::inRange(0, 3), *rc::gen::inRange(0, 3),
         *rc::gen::weightedElement<bool>({{4, false}, {1, true}})};
  auto Tried =
      *rc::gen::container<std::vector<size_t>>(rc::gen::inRange<size_t>(0, 60));
  bool Any = false;
  for (size_t I = 0; I < Workers.size(); ++I)
    Any |= Workers[I].isUsable() &&
           std::find(Tried.begin(), Tried.end(), I) == Tried.end();
  auto Chosen = Selector->pick(Workers, Tried);
  RC_ASSERT(Chosen.has_value() == Any);
  if (Chosen) {
    RC_ASSERT(Workers[*Chosen].isUsable());
    RC_ASSERT(std::find(Tried.begin(), Tried.end(), *Chosen) == Tried.end());
  }
}

// Guards against power of two choices becoming no better than random choice:
// the most loaded worker must stay near the mean.
TEST(WorkerSelectorTest, PowerOfTwoLoadsEvenly) {
  std::map<WorkerChoice, int> Fullest;
  for (WorkerChoice Choice : {WorkerChoice::PowerOfTwo, WorkerChoice::Random}) {
    auto Selector = WorkerSelector::create(Choice, 42);
    std::vector<WorkerCandidate> Workers(920, {100, 0, 0, 100, false});
    for (int I = 0; I < 920 * 8; ++I)
      ++Workers[*Selector->pick(Workers, {})].SentSinceReport;
    for (const WorkerCandidate &W : Workers)
      Fullest[Choice] = std::max(Fullest[Choice], W.SentSinceReport);
  }
  EXPECT_LE(Fullest[WorkerChoice::PowerOfTwo], 11);
  EXPECT_GE(Fullest[WorkerChoice::Random], 16);
}

// Guards against a limit outside its bounds, an overload that does not lower
// it, and a limit that does not recover.
RC_GTEST_PROP(ConcurrencyLimiterTest, StaysWithinSlotsAndConnections, ()) {
  auto Limiter = ConcurrencyLimiter::create(ConcurrencyControl::Adaptive);
  int Slots = *rc::gen::inRange(1, 10), Connections = *rc::gen::inRange(1, 10);
  Limiter->setBound(Slots, Connections);
  absl::Time Now = Start;
  for (bool Success : *rc::gen::arbitrary<std::vector<bool>>()) {
    int Before = Limiter->limit();
    Now += absl::Milliseconds(300);
    if (Success)
      Limiter->onSuccess(Before);
    else
      Limiter->onOverload(Now);
    RC_ASSERT(Success || Before == 1 || Limiter->limit() < Before);
    RC_ASSERT(Limiter->limit() >= 1);
    RC_ASSERT(Limiter->limit() <= std::min(Slots, Connections));
  }
  // Successes alone raise the limit to its bound again.
  for (int I = 0; I < 200; ++I)
    Limiter->onSuccess(Limiter->limit());
  RC_ASSERT(Limiter->limit() == std::min(Slots, Connections));
}

// Guards against retries that multiply the load when every request fails, and
// against an account that spends the budget of another.
TEST(RetryPolicyTest, RetriesAreLimitedToAShareOfSuccesses) {
  auto Retry = RetryPolicy::create(RetryControl::Budget, 0.1, 42);
  ClientAccountId A("a"), B("b");
  RetryPolicy::Failure Failed = {1, true, true, absl::Seconds(10)};
  auto CountRetries = [&](const ClientAccountId &Account) {
    int Retries = 0;
    while (Retries < 1000 && Retry->onFailure(Account, Failed))
      ++Retries;
    return Retries;
  };
  EXPECT_EQ(CountRetries(A), 10);
  for (int I = 0; I < 205; ++I)
    Retry->onSuccess(A);
  EXPECT_EQ(CountRetries(A), 20);
  EXPECT_EQ(CountRetries(B), 10);
}

// Guards against retries of requests that may already have run and are not
// repeatable, retries after the deadline, and retries without jitter.
TEST(RetryPolicyTest, RetriesOnlyIfSafeAndInTimeWithJitter) {
  for (RetryControl Control : {RetryControl::Budget, RetryControl::Unlimited}) {
    auto Retry = RetryPolicy::create(Control, 0.1, 42);
    ClientAccountId A("a");
    EXPECT_FALSE(Retry->onFailure(A, {1, false, false, absl::Seconds(9)}));
    EXPECT_FALSE(Retry->onFailure(A, {1, true, false, absl::ZeroDuration()}));
    absl::Duration Least = absl::InfiniteDuration(), Most;
    for (int I = 0; I < 10; ++I) {
      auto Wait = Retry->onFailure(A, {4, true, false, absl::Seconds(9)});
      ASSERT_TRUE(Wait.has_value());
      Least = std::min(Least, *Wait);
      Most = std::max(Most, *Wait);
    }
    EXPECT_LE(Most, absl::Milliseconds(80));
    EXPECT_GT(Most - Least, absl::Milliseconds(20));
  }
}

static std::unique_ptr<WorkerHealth> makeWorkerHealth(size_t Count) {
  auto Health = WorkerHealth::create(HealthControl::Ejection);
  for (size_t I = 0; I < Count; ++I)
    Health->add(I);
  return Health;
}

// Guards against use of a failing worker, an early return from ejection, and a
// return at full load without a probe.
TEST(WorkerHealthTest, EjectsProbesAndReturnsGradually) {
  auto Health = makeWorkerHealth(3);
  absl::Time Now = Start;
  for (int I = 0; I < 3; ++I) {
    EXPECT_GT(Health->allowance(0, Now), 0);
    Health->onFailure(0, {}, Now);
  }
  EXPECT_EQ(Health->allowance(0, Now), 0);
  Health->onSuccess(0, Now); // Sent before the ejection.
  EXPECT_EQ(Health->allowance(0, Now), 0);
  Now += absl::Seconds(1);
  EXPECT_EQ(Health->allowance(0, Now), 1);
  Health->onFailure(0, {}, Now);
  Now += absl::Seconds(1);
  EXPECT_EQ(Health->allowance(0, Now), 0) << "the second ejection is longer";
  Now += absl::Seconds(1);
  int Expected = 1;
  for (int I = 0; I < 5; ++I, Expected *= 2) {
    EXPECT_EQ(Health->allowance(0, Now), Expected);
    Health->onSuccess(0, Now);
  }
}

// Guards against ejection of most workers when requests fail on all of them for
// a reason outside the workers.
RC_GTEST_PROP(WorkerHealthTest, AtMostAThirdIsEjected, ()) {
  auto Count = *rc::gen::inRange<size_t>(1, 12);
  auto Health = makeWorkerHealth(Count);
  absl::Time Now = Start;
  for (int I = 0; I < 200; ++I) {
    Health->onFailure(*rc::gen::inRange<size_t>(0, Count), {}, Now);
    Now += absl::Milliseconds(*rc::gen::inRange(0, 100));
    size_t Ejected = 0;
    for (size_t W = 0; W < Count; ++W)
      Ejected += Health->allowance(W, Now) == 0;
    RC_ASSERT(Ejected == Health->ejectedCount());
    RC_ASSERT(3 * Ejected <= Count);
  }
}

// Guards against ejection of healthy workers because of requests that fail on
// every worker, and against broken workers that stay in use because the same
// requests fail on several of them.
TEST(WorkerHealthTest, FailuresThatFollowTheRequestAreNotCounted) {
  auto Health = makeWorkerHealth(9);
  for (size_t I = 0; I < 100; ++I) {
    size_t First[] = {I % 9};
    size_t Second = (I + 1) % 9;
    for (int Request = 0; Request < 3; ++Request) {
      Health->onFailure(First[0], {}, Start);
      Health->onFailure(Second, First, Start);
    }
    EXPECT_EQ(Health->ejectedCount(), 0u);
    // Other requests succeed.
    Health->onSuccess(First[0], Start);
    Health->onSuccess(Second, Start);
  }
  for (size_t I = 0; I < 10; ++I) {
    size_t First[] = {7 + I % 2};
    Health->onFailure(First[0], {}, Start);
    Health->onFailure(7 + (I + 1) % 2, First, Start);
  }
  EXPECT_EQ(Health->allowance(7, Start), 0);
  EXPECT_EQ(Health->allowance(8, Start), 0);
}

// Guards against several hosts that use the same stale load reports and all
// forward to the same data centre, and against rapid switching between local
// and remote.
TEST(DataCentreSelectorTest, SpillsOverByLoadWithHysteresis) {
  auto Selector = DataCentreSelector::create(DataCentreChoice::SpillOver, 42);
  std::vector<DataCentreLoad> Others = {
      {DataCentreId("b"), absl::Milliseconds(20), Start, true},
      {DataCentreId("c"), absl::Milliseconds(60), Start, true},
      {DataCentreId("loaded"), absl::Milliseconds(900), Start, true},
      {DataCentreId("cut-off"), absl::ZeroDuration(), Start, false},
      {DataCentreId("silent"), absl::ZeroDuration(), Start - absl::Seconds(5),
       true}};
  EXPECT_FALSE(Selector->pick(absl::Milliseconds(150), Others, Start));
  std::map<std::string, int> Counts;
  for (int I = 0; I < 3000; ++I) {
    auto Target = Selector->pick(absl::Milliseconds(980), Others, Start);
    ++Counts[Target ? Target->str() : "local"];
  }
  // Weights 1 / 40 ms, 1 / 80 ms and 1 / 1000 ms.
  EXPECT_NEAR(Counts["b"], 1948, 120);
  EXPECT_NEAR(Counts["c"], 974, 120);
  EXPECT_NEAR(Counts["local"], 78, 40);
  int Forwarded = 0;
  for (int I = 0; I < 100; ++I)
    Forwarded +=
        Selector->pick(absl::Milliseconds(150), Others, Start).has_value();
  EXPECT_GT(Forwarded, 0) << "still spilling over";
  EXPECT_FALSE(Selector->pick(absl::Milliseconds(90), Others, Start));
  EXPECT_FALSE(Selector->pick(absl::Milliseconds(150), Others, Start));
}
