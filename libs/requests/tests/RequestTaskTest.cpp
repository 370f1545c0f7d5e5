#include "Simulation.h"

#include <gtest/gtest.h>

#include <map>

using namespace vanillayard;

TEST(RequestTaskTest, RepeatableRequestRunsWithoutTheStore) {
  Simulation S;
  auto &Request = S.submit(0, "price-check", "", "body");
  EXPECT_EQ(Request.Callbacks, 0) << "not from inside the call";
  S.World.advance(absl::Seconds(1));
  ASSERT_EQ(outcome(Request), "ok");
  EXPECT_EQ(Request.Result->Body, "answer to body");
  EXPECT_EQ(Request.Result->Id, Request.Request.Id);
  EXPECT_EQ(S.Store.Reads + S.Store.Writes, 0);
  EXPECT_EQ(S.host().Task->liveCount(), 0u);
}

// Guards against a retry that runs the request again, also through another
// host, and against a key that is used for two requests.
TEST(RequestTaskTest, RetryGetsTheRecordedAnswer) {
  Simulation S(2);
  auto &First = S.submit(0, "cut-sheet", "key", "body");
  S.World.advance(absl::Seconds(1));
  ASSERT_EQ(outcome(First), "ok");
  auto &Retry = S.submit(1, "cut-sheet", "key", "body");
  auto &Other = S.submit(0, "cut-sheet", "key", "other body");
  S.World.advance(absl::Seconds(1));
  ASSERT_EQ(outcome(Retry), "ok");
  EXPECT_EQ(Retry.Result->Body, "answer to body");
  EXPECT_EQ(Retry.Result->Id, Retry.Request.Id);
  EXPECT_EQ(outcome(Other), "key_reused");
  EXPECT_EQ(S.Workers.ByBody["body"], 1);
  EXPECT_EQ(S.Workers.ByBody["other body"], 0);
  // All leases were released.
  for (size_t I = 0; I < S.Workers.size(); ++I)
    EXPECT_TRUE(S.Workers.at(I).Leases.empty());
}

// Guards against leases that are used although no claim can be made, and
// against price checks that stop with the store.
TEST(RequestTaskTest, StoreDownRefusesBeforeAnyLease) {
  Simulation S;
  S.Store.Fault.Down = true;
  auto &Render = S.submit(0, "cut-sheet", "key", "render");
  auto &Check = S.submit(0, "price-check", "", "check");
  S.World.advance(absl::Seconds(3));
  EXPECT_EQ(outcome(Render), "platform_unavailable");
  EXPECT_EQ(outcome(Check), "ok");
  EXPECT_EQ(S.Workers.ByBody["render"], 0);
  for (size_t I = 0; I < S.Workers.size(); ++I)
    for (const auto &[Id, Lease] : S.Workers.at(I).Leases)
      EXPECT_NE(Lease.Owner, Render.Request.Id.str());
}
