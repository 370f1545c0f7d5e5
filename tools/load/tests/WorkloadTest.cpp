#include "load/Workload.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

using namespace vanillayard;

static LoadStream streamNamed(std::string Name, double Rate) {
  LoadStream Stream;
  Stream.Name = std::move(Name);
  Stream.Kind = KindOfWorkId("price-check");
  Stream.Account = ClientAccountId("a");
  Stream.Callers = {{CallerId("one"), 1}};
  Stream.RatePerSecond = Rate;
  return Stream;
}

static std::vector<absl::Duration> timesOf(const Workload &Load,
                                           size_t Stream) {
  std::vector<absl::Duration> Times;
  for (const PlannedRequest &Request : Load.requests())
    if (Request.StreamIndex == Stream)
      Times.push_back(Request.ScheduledTime);
  return Times;
}

// Guards against comparing two policies under different arrival schedules.
RC_GTEST_PROP(WorkloadTest, ScheduleDependsOnSeedAndStreamOnly, ()) {
  auto Seed = *rc::gen::inRange<uint64_t>(0, 1000);
  auto Rate = *rc::gen::inRange(1, 200);
  LoadStream First = streamNamed("first", Rate);
  auto Alone = Workload::Builder().seed(Seed).stream(First).build();
  auto Both = Workload::Builder()
                  .seed(Seed)
                  .stream(First)
                  .stream(streamNamed("second", 50))
                  .build();
  RC_ASSERT(Alone.ok());
  RC_ASSERT(Both.ok());
  RC_ASSERT(timesOf(*Alone, 0) == timesOf(*Both, 0));
  absl::Duration Last;
  for (size_t I = 0; I < Both->requests().size(); ++I) {
    const PlannedRequest &Request = Both->requests()[I];
    RC_ASSERT(Request.Sequence == I);
    RC_ASSERT(Request.ScheduledTime >= Last);
    RC_ASSERT(Request.ScheduledTime < Both->duration());
    Last = Request.ScheduledTime;
  }
}

TEST(WorkloadTest, FloodMultipliesTheRateInItsWindowOnly) {
  LoadStream Stream = streamNamed("flood", 100);
  Stream.Floods = {{absl::Seconds(4), absl::Seconds(6), 10}};
  auto Load = Workload::Builder().stream(Stream).build();
  ASSERT_TRUE(Load.ok()) << Load.status();
  int Inside = 0;
  for (absl::Duration At : timesOf(*Load, 0))
    Inside += At >= absl::Seconds(4) && At < absl::Seconds(6) ? 1 : 0;
  int Outside = static_cast<int>(Load->requests().size()) - Inside;
  // Five standard deviations of the Poisson counts 2000 and 800.
  EXPECT_NEAR(Inside, 2000, 224);
  EXPECT_NEAR(Outside, 800, 142);
}

TEST(WorkloadTest, BurstsArriveTogetherAtTheSameMeanRate) {
  LoadStream Stream = streamNamed("bursts", 200);
  Stream.Arrivals = ArrivalProcess::Bursts;
  Stream.BurstSize = 20;
  auto Load = Workload::Builder().stream(Stream).build();
  ASSERT_TRUE(Load.ok()) << Load.status();
  std::map<absl::Duration, int> AtOnce;
  for (absl::Duration At : timesOf(*Load, 0))
    ++AtOnce[At];
  for (const auto &[At, Number] : AtOnce)
    EXPECT_EQ(Number, 20) << absl::FormatDuration(At);
  EXPECT_NEAR(AtOnce.size(), 100, 50);
}

TEST(WorkloadTest, CallersGetTheirWeightAndGangSizesAreMixed) {
  LoadStream Stream = streamNamed("mixed", 1000);
  Stream.Callers = {{CallerId("small"), 1}, {CallerId("large"), 100}};
  Stream.Job.GangSizes = {1, 4};
  auto Load = Workload::Builder().stream(Stream).build();
  ASSERT_TRUE(Load.ok()) << Load.status();
  std::map<std::string, int> ByCaller;
  std::map<int, int> BySize;
  for (const PlannedRequest &Request : Load->requests()) {
    ++ByCaller[Request.Caller.str()];
    ++BySize[Request.GangSize];
  }
  EXPECT_NEAR(ByCaller["small"], 99, 50);
  EXPECT_NEAR(BySize[1], BySize[4], 500);
  EXPECT_EQ(BySize.size(), 2U);
}

TEST(WorkloadTest, RejectsUnboundedOrEmptyWorkloads) {
  LoadStream NoCallers = streamNamed("x", 1);
  NoCallers.Callers.clear();
  LoadStream NoGangs = streamNamed("x", 1);
  NoGangs.Job.GangSizes.clear();
  LoadStream Negative = streamNamed("x", 1);
  Negative.Floods = {{absl::ZeroDuration(), absl::Seconds(1), -1}};
  for (const LoadStream &Bad :
       {NoCallers, NoGangs, Negative, streamNamed("x", 0)})
    EXPECT_EQ(Workload::Builder().stream(Bad).build().status().code(),
              absl::StatusCode::kInvalidArgument);
  auto Long = Workload::Builder().duration(absl::InfiniteDuration());
  EXPECT_FALSE(Long.stream(streamNamed("x", 1)).build().ok());
  auto Many = Workload::Builder().maxRequests(10);
  EXPECT_EQ(Many.stream(streamNamed("x", 1000)).build().status().code(),
            absl::StatusCode::kResourceExhausted);
}
