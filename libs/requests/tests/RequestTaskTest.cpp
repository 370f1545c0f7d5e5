#include "Simulation.h"
#include "requests/ClaimStore.h"

#include <gtest/gtest.h>

using namespace vanillayard;

// Guards against repeatable requests that depend on the store, and against an
// answer from inside submit().
TEST(RequestTaskTest, RepeatableRequestRunsWithoutTheStore) {
  Simulation S;
  auto &Request = S.submit(0, "price-check", "", "body");
  EXPECT_EQ(Request.Callbacks, 0) << "submit() called the callback";
  S.VirtualExec.advance(absl::Seconds(1));
  ASSERT_EQ(outcome(Request), "ok");
  EXPECT_EQ(Request.Result->Body, "answer to body");
  EXPECT_EQ(Request.Result->Id, Request.Request.Id);
  EXPECT_EQ(S.Store.Reads + S.Store.Writes, 0);
  EXPECT_EQ(S.host().Task->unfinishedCount(), 0u);
}

// Guards against a retry through the same or another host that runs a
// non-repeatable request again, and against two different requests that share
// an idempotency key.
TEST(RequestTaskTest, RetryGetsTheRecordedAnswer) {
  Simulation S(2);
  auto &First = S.submit(0, "cut-sheet", "key", "body");
  S.VirtualExec.advance(absl::Seconds(1));
  ASSERT_EQ(outcome(First), "ok");
  auto &Retry = S.submit(1, "cut-sheet", "key", "body");
  auto &Other = S.submit(0, "cut-sheet", "key", "other body");
  S.VirtualExec.advance(absl::Seconds(1));
  ASSERT_EQ(outcome(Retry), "ok");
  EXPECT_EQ(Retry.Result->Body, "answer to body");
  EXPECT_EQ(Retry.Result->Id, Retry.Request.Id);
  EXPECT_EQ(outcome(Other), "key_reused");
  EXPECT_EQ(S.Workers.ExecutionsByBody["body"], 1);
  EXPECT_EQ(S.Workers.ExecutionsByBody["other body"], 0);
  // All leases were released.
  for (size_t I = 0; I < S.Workers.size(); ++I)
    EXPECT_TRUE(S.Workers.at(I).Leases.empty());
}

// Guards against leases that are acquired although no claim can be written, and
// against price checks that fail while the store is down.
TEST(RequestTaskTest, StoreDownRefusesBeforeAcquiringALease) {
  Simulation S;
  S.Store.Fault.Down = true;
  auto &Render = S.submit(0, "cut-sheet", "key", "render");
  auto &Check = S.submit(0, "price-check", "", "check");
  S.VirtualExec.advance(absl::Seconds(3));
  EXPECT_EQ(outcome(Render), "platform_unavailable");
  EXPECT_EQ(outcome(Check), "ok");
  EXPECT_EQ(S.Workers.ExecutionsByBody["render"], 0);
  for (size_t I = 0; I < S.Workers.size(); ++I)
    for (const auto &[Id, Lease] : S.Workers.at(I).Leases)
      EXPECT_NE(Lease.Owner, Render.Request.Id.str());
}

// Guards against requests that occupy workers' slots while they wait for a slow
// store and so delay price checks. The store must count as down after the
// timeout.
TEST(RequestTaskTest, SlowStoreDoesNotHoldSlots) {
  Simulation S(1, 1);
  S.Store.Fault.Delay = absl::Seconds(20);
  for (int I = 0; I < 50; ++I)
    S.submit(0, "cut-sheet", fmt::format("key{}", I), "render",
             absl::Seconds(60));
  S.VirtualExec.advance(absl::Seconds(2));
  for (const auto &Request : S.Submissions)
    EXPECT_EQ(outcome(Request), "platform_unavailable");
  auto &Check = S.submit(0, "price-check", "", "check");
  S.VirtualExec.advance(absl::Milliseconds(100));
  EXPECT_EQ(outcome(Check), "ok");
}

// Guards against one write call to the store for each claim.
TEST(RequestTaskTest, ClaimsAreCommittedInGroups) {
  Simulation S(1, 60);
  S.Store.Fault.Delay = absl::Milliseconds(30);
  for (int I = 0; I < 100; ++I)
    S.submit(0, "cut-sheet", fmt::format("key{}", I),
             fmt::format("render{}", I));
  S.VirtualExec.advance(absl::Seconds(5));
  for (const auto &Request : S.Submissions)
    EXPECT_EQ(outcome(Request), "ok");
  // 100 claims and 100 outcomes are written in at most 8 calls.
  EXPECT_LE(S.Store.Writes, 8);
}

// Guards against two pairs of account and idempotency key that map to the same
// claim.
TEST(RequestTaskTest, ClaimKeysAreDistinct) {
  EXPECT_NE(ClaimStore::keyOf(ClientAccountId("a/b"), "c"),
            ClaimStore::keyOf(ClientAccountId("a"), "b/c"));
  EXPECT_NE(ClaimStore::keyOf(ClientAccountId("a"), "%2f"),
            ClaimStore::keyOf(ClientAccountId("a"), "/"));
}

// Guards against errors that reach callers because one worker fails every task.
TEST(RequestTaskTest, BrokenWorkerLosesOnlyItsFirstRequests) {
  Simulation S(1, 5);
  S.Workers.at(0).FailEverything = true;
  for (int I = 0; I < 500; ++I) {
    S.submit(0, "price-check", "", fmt::format("check{}", I));
    S.VirtualExec.advance(absl::Milliseconds(10));
  }
  S.VirtualExec.advance(absl::Seconds(1));
  for (const auto &Request : S.Submissions)
    EXPECT_EQ(outcome(Request), "ok");
  // 3 failures that eject the worker, the requests in flight at that time, and
  // one probe after each ejection.
  EXPECT_LE(S.Workers.at(0).Started, 8);
}

// Guards against an urgent request that waits for a worker that hangs, and
// against hedging of requests that are not urgent.
TEST(RequestTaskTest, UrgentRequestsAreHedged) {
  Simulation S(1, 3);
  S.host().Task->updateWorker(S.Workers.view(0));
  for (const char *Kind : {"price-check", "photo-match"})
    for (int I = 0; I < 40; ++I) {
      S.submit(0, Kind, "", "warm up");
      S.VirtualExec.advance(absl::Milliseconds(30));
    }
  S.Workers.at(0).Paused = true;
  int64_t Hedges = S.host().Task->counters().Hedges;
  absl::Time Start = S.VirtualExec.now();
  for (int I = 0; I < 6; ++I) {
    auto &Check = S.submit(0, "price-check", "", "check");
    S.VirtualExec.advance(absl::Milliseconds(200));
    EXPECT_EQ(outcome(Check), "ok") << S.VirtualExec.now() - Start;
  }
  EXPECT_GT(S.host().Task->counters().Hedges, Hedges);
  Hedges = S.host().Task->counters().Hedges;
  for (int I = 0; I < 20; ++I)
    S.submit(0, "photo-match", "", "match");
  S.VirtualExec.advance(absl::Seconds(1));
  EXPECT_EQ(S.host().Task->counters().Hedges, Hedges);
}

// Guards against a cancelled request that is reported as not run although it
// was started, and against a disconnect that stops a non-repeatable request.
TEST(RequestTaskTest, CancelReportsWhetherTheRequestRan) {
  Simulation S(1, 1);
  S.Workers.Fault.RunTime = absl::Seconds(1);
  auto &Running = S.submit(0, "cut-sheet", "key1", "render1");
  auto &Repeatable = S.submit(0, "price-check", "", "check");
  auto &Queued = S.submit(0, "price-check", "", "queued");
  S.VirtualExec.advance(absl::Milliseconds(100));
  for (const auto *Request : {&Running, &Repeatable, &Queued}) {
    EXPECT_TRUE(
        S.host().Task->cancel(Request->Request.Id, CancelReason::Disconnected));
    EXPECT_FALSE(
        S.host().Task->cancel(Request->Request.Id, CancelReason::Disconnected));
  }
  S.VirtualExec.advance(absl::Seconds(3));
  EXPECT_EQ(outcome(Running), "cancelled_running");
  EXPECT_EQ(outcome(Repeatable), "cancelled_running");
  EXPECT_EQ(outcome(Queued), "cancelled");
  EXPECT_EQ(S.Workers.ExecutionsByBody["queued"], 0);
  // The non-repeatable request kept running, and the retry gets its answer.
  auto &Retry = S.submit(0, "cut-sheet", "key1", "render1");
  S.VirtualExec.advance(absl::Seconds(1));
  EXPECT_EQ(outcome(Retry), "ok");
  EXPECT_EQ(S.Workers.ExecutionsByBody["render1"], 1);
}

// Guards against requests that a graceful shutdown loses or interrupts.
TEST(RequestTaskTest, ShutdownHandsOverAndFinishes) {
  Simulation S(2, 2);
  S.connect(S.host(0), S.host(1));
  S.Workers.Fault.RunTime = absl::Milliseconds(500);
  for (int I = 0; I < 10; ++I)
    S.submit(0, "price-check", "", fmt::format("check{}", I));
  for (int I = 0; I < 10; ++I)
    S.submit(0, "cut-sheet", fmt::format("key{}", I), fmt::format("r{}", I));
  S.VirtualExec.advance(absl::Milliseconds(100));
  bool Idle = false;
  S.host(0).Task->shutdown([&] { Idle = true; });
  auto &Late = S.submit(0, "price-check", "", "late");
  S.VirtualExec.advance(absl::Milliseconds(100));
  EXPECT_FALSE(Idle);
  EXPECT_EQ(outcome(Late), "shutting_down");
  S.VirtualExec.advance(absl::Seconds(9));
  EXPECT_TRUE(Idle);
  for (const auto &Request : S.Submissions)
    if (&Request != &Late) {
      EXPECT_EQ(outcome(Request), "ok") << Request.Request.Body;
    }
  for (const auto &[Body, Count] : S.Workers.ExecutionsByBody)
    EXPECT_EQ(Count, 1) << Body;
  EXPECT_GE(S.host(0).Forwarder.Count, 10);
}

// Guards against a non-repeatable request that runs on this host although it
// may have run on the host that it was forwarded to.
TEST(RequestTaskTest, ForwardingErrorDecidesWhetherTheRequestRunsHere) {
  Simulation S(2, 2);
  auto &Forwarder = S.host(0).Forwarder;
  Forwarder.Loads = {
      {DataCentreId("dc2"), absl::ZeroDuration(), S.VirtualExec.now(), true}};
  S.Workers.Fault.RunTime = absl::Milliseconds(400);
  // Because of its backlog the host forwards requests: first without a peer, so
  // every forward is refused, then to a peer whose answers are lost.
  for (int I = 0; I < 40; ++I) {
    S.submit(0, "cut-sheet", fmt::format("key{}", I), fmt::format("r{}", I),
             absl::Seconds(20));
    S.submit(0, "cut-match", "", fmt::format("match{}", I), absl::Seconds(20));
    S.VirtualExec.advance(absl::Milliseconds(20));
    Forwarder.Loads[0].ReportTime = S.VirtualExec.now();
    if (Forwarder.Count > 0 && !Forwarder.LoseAnswers) {
      S.VirtualExec.advance(absl::Milliseconds(20));
      S.connect(S.host(0), S.host(1));
      Forwarder.LoseAnswers = true;
    }
  }
  S.VirtualExec.advance(absl::Seconds(60));
  int Unknown = 0, Twice = 0;
  for (const auto &Request : S.Submissions) {
    Unknown += outcome(Request) == "outcome_unknown";
    EXPECT_TRUE(
        outcome(Request) == "ok" ||
        (outcome(Request) == "outcome_unknown" && !Request.Request.Repeatable))
        << outcome(Request);
  }
  for (const auto &[Body, Count] : S.Workers.ExecutionsByBody) {
    EXPECT_LE(Count, Body.starts_with("match") ? 2 : 1) << Body;
    Twice += Count == 2;
  }
  EXPECT_GE(Unknown, 5);
  EXPECT_GE(Twice, 5)
      << "too few repeatable requests ran again here after a lost answer";
}

// Guards against a request that is reported as not run because a stale read of
// the store returned a claim older than its own.
TEST(RequestTaskTest, StaleReadOfTheClaimLeavesTheOutcomeUnknown) {
  Simulation S(2, 2);
  S.submit(0, "cut-sheet", "key", "render");
  while (S.Workers.at(0).Leases.empty() && S.Workers.at(1).Leases.empty())
    S.VirtualExec.advance(absl::Milliseconds(1));
  S.VirtualExec.advance(absl::Milliseconds(1));
  // The first host is killed after it wrote its claim and before it started the
  // task.
  S.host(0).Exec.freeze();
  S.VirtualExec.advance(absl::Milliseconds(20));
  S.startHost(S.host(0));
  ASSERT_EQ(S.Store.Writes, 1);
  ASSERT_EQ(S.Workers.ExecutionsByBody["render"], 0);
  S.Workers.Fault.TruncateAnswer = 1;
  auto &Retry =
      S.submit(1, "cut-sheet", "key", "render", absl::Milliseconds(600));
  while (S.Workers.ExecutionsByBody["render"] == 0)
    S.VirtualExec.advance(absl::Milliseconds(1));
  // Reads are stale: they return the record from before the last write, which
  // is the first host's claim on the key. No worker has a free slot.
  S.Store.Fault.StaleRead = 1;
  for (size_t I = 0; I < S.Workers.size(); ++I)
    S.Workers.at(I).Slots = 0;
  S.VirtualExec.advance(absl::Seconds(2));
  EXPECT_EQ(outcome(Retry), "outcome_unknown");
}

// Guards against a claim that is reported as refused because the answer to its
// write was lost and the write is repeated. The stored record must decide.
TEST(ClaimStoreTest, RecordDecidesAfterALostAnswer) {
  VirtualExecutor VirtualExec;
  FakeStore Service(VirtualExec, 42);
  FakeStoreClient Client(Service, VirtualExec);
  ClaimStore Claims(VirtualExec, Client, absl::Seconds(1));
  int Applied = 0, Refused = 0;
  auto Count = [&](const absl::StatusOr<ClaimStore::PutResult> &Result) {
    ASSERT_TRUE(Result.ok());
    ++(Result->Applied ? Applied : Refused);
    EXPECT_EQ(Result->Existing.has_value(), !Result->Applied);
  };
  ClaimRecord First, Second;
  First.Lease = LeaseId("first");
  Second.Lease = LeaseId("second");
  Service.Fault.LoseAnswer = 1;
  Claims.put("key", 0, First, Count);
  VirtualExec.advance(absl::Milliseconds(2));
  ASSERT_EQ(Service.Writes, 1);
  Service.Fault.LoseAnswer = 0;
  Service.Fault.StaleRead = 1; // Returns no claim, so it is written again.
  VirtualExec.advance(absl::Seconds(1));
  EXPECT_EQ(Applied, 1);
  EXPECT_EQ(Service.Writes, 2);
  Claims.put("key", 0, Second, Count);
  VirtualExec.advance(absl::Seconds(1));
  EXPECT_EQ(Applied, 1);
  EXPECT_EQ(Refused, 1);
}
