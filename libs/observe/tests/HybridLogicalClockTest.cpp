#include "observe/HybridLogicalClock.h"

#include "base/VirtualExecutor.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <vector>

using namespace vanillayard;

// Guards against a timestamp that decreases or that is lower than that of its
// cause, for hosts whose physical clocks differ by up to 30 s.
RC_GTEST_PROP(HybridLogicalClockTest, TimestampsFollowCausalOrder, ()) {
  std::vector<std::unique_ptr<VirtualExecutor>> Execs;
  std::vector<std::unique_ptr<HybridLogicalClock>> Clocks;
  for (int I = 0; I < 3; ++I) {
    auto Skew = absl::Milliseconds(*rc::gen::inRange(0, 30000));
    Execs.push_back(
        std::make_unique<VirtualExecutor>(absl::FromUnixSeconds(1000) + Skew));
    Clocks.push_back(std::make_unique<HybridLogicalClock>(*Execs[I]));
  }
  for (int Step = 0; Step < 50; ++Step) {
    int From = *rc::gen::inRange(0, 3);
    int To = *rc::gen::inRange(0, 3);
    Execs[To]->advance(absl::Microseconds(*rc::gen::inRange(0, 3)));
    HlcTime Before = Clocks[To]->last();
    HlcTime Sent = Clocks[From]->now();
    HlcTime Got = Clocks[To]->update(Sent);
    RC_ASSERT(Got > Sent);
    RC_ASSERT(Got > Before);
    RC_ASSERT(Clocks[To]->now() > Got);
  }
}

// Guards against a host with a wrong clock that advances all other clocks.
TEST(HybridLogicalClockTest, IgnoresATimestampFarAhead) {
  VirtualExecutor Exec;
  HybridLogicalClock Clock(Exec);
  int64_t Now = absl::ToUnixMicros(Exec.now());
  Clock.update({Now + absl::ToInt64Microseconds(absl::Hours(5)), 0});
  EXPECT_EQ(Clock.last().PhysicalUs, Now);
}
