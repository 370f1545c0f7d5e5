#include "observe/Metrics.h"

#include "AllocationCount.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

using namespace vanillayard;

// Guards against allocations on the request path, which records samples.
TEST(MetricsTest, RecordingDoesNotAllocate) {
  Metrics All;
  Counter &C = All.counter("c", "");
  Gauge &G = All.gauge("g", "");
  LatencyHistogram &H = All.histogram("h", "");
  size_t Before = allocationCount();
  for (int I = 0; I < 1000; ++I) {
    C.add();
    G.set(I);
    H.record(absl::Microseconds(I * I));
  }
  EXPECT_EQ(allocationCount(), Before);
  EXPECT_EQ(H.count(), 1000u);
}

// Guards against quantiles that differ from the exact ones by more than a bin.
RC_GTEST_PROP(MetricsTest, QuantilesAreWithinOneBin, ()) {
  auto Samples = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(
      rc::gen::map(rc::gen::inRange(0, 6900), [](int Exponent) {
        return static_cast<int>(60 * std::pow(10, Exponent / 1000.0));
      })));
  LatencyHistogram H;
  for (int Us : Samples)
    H.record(absl::Microseconds(Us));
  std::sort(Samples.begin(), Samples.end());
  for (double Q : {0.5, 0.99, 1.0}) {
    auto Rank = static_cast<size_t>(std::ceil(Q * double(Samples.size())));
    double Exact = Samples[Rank - 1];
    double Got = absl::ToDoubleMicroseconds(H.quantile(Q));
    RC_ASSERT(Got >= Exact / 1.34);
    RC_ASSERT(Got <= Exact * 1.34);
  }
}

// Guards against output that does not follow the Prometheus text format:
// unescaped labels, order of labels, bucket counts, or two types of one name.
TEST(MetricsTest, ExpositionFollowsTheTextFormat) {
  Metrics All;
  All.counter("requests_total", "Requests.", {{"kind", "a\"b"}}).add(3);
  EXPECT_EQ(&All.counter("requests_total", "", {{"x", "1"}, {"y", "2"}}),
            &All.counter("requests_total", "", {{"y", "2"}, {"x", "1"}}));
  All.gauge("free", "Free slots.").set(2.5);
  // A gauge with the name of a counter must not corrupt the output.
  All.gauge("requests_total", "").set(7);
  LatencyHistogram &H = All.histogram("wait_seconds", "Wait.", {{"k", "v"}});
  H.record(absl::Microseconds(1));
  H.record(absl::Hours(1));
  std::string Text = All.exposition();
  for (const char *Line : {"# TYPE requests_total counter\n",
                           "requests_total{kind=\"a\\\"b\"} 3\n", "free 2.5\n",
                           "wait_seconds_bucket{k=\"v\",le=\"500\"} 1\n",
                           "wait_seconds_bucket{k=\"v\",le=\"+Inf\"} 2\n",
                           "wait_seconds_count{k=\"v\"} 2\n"})
    EXPECT_NE(Text.find(Line), std::string::npos) << Line << Text;
  EXPECT_EQ(Text.find(" 7\n"), std::string::npos);
}

// Guards against unbounded memory use when callers choose label values.
TEST(MetricsTest, NumberOfSeriesIsBounded) {
  Metrics All(10);
  for (int I = 0; I < 100; ++I)
    All.counter("c", "", {{"caller", std::to_string(I)}}).add();
  EXPECT_EQ(All.seriesCount(), 10u);
  EXPECT_NE(All.exposition().find("c{overflow=\"true\"} 90\n"),
            std::string::npos);
}
