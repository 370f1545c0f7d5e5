#include "load/Recorder.h"

#include "load/LoadStream.h"
#include "load/PlannedRequest.h"
#include "load/Report.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace vanillayard;

// Guards against a p99 from the wrong rank, which could make a missed target
// look met.
RC_GTEST_PROP(SampleSetTest, QuantileIsTheSmallestThatCoversItsShare, ()) {
  auto Values = *rc::gen::nonEmpty<std::vector<int>>();
  auto Percent = *rc::gen::inRange(1, 101);
  SampleSet Samples;
  for (int Value : Values)
    Samples.add(Value);
  double Result = Samples.quantile(Percent / 100.0);
  auto Count = static_cast<double>(Values.size());
  auto NotAbove = std::count_if(Values.begin(), Values.end(),
                                [&](int V) { return V <= Result; });
  auto Below = std::count_if(Values.begin(), Values.end(),
                             [&](int V) { return V < Result; });
  constexpr double Rounding = 1e-6;
  RC_ASSERT(static_cast<double>(NotAbove) >=
            Percent / 100.0 * Count - Rounding);
  RC_ASSERT(static_cast<double>(Below) < Percent / 100.0 * Count + Rounding);
}

TEST(SampleSetTest, JainIndexOfKnownShares) {
  EXPECT_DOUBLE_EQ(jainIndex({2, 2, 2, 2}), 1);
  EXPECT_DOUBLE_EQ(jainIndex({5, 0, 0, 0}), 0.25);
  EXPECT_DOUBLE_EQ(jainIndex({1, 3}), 0.8);
  EXPECT_DOUBLE_EQ(jainIndex({}), 1);
}

TEST(RecorderTest, GroupsOutcomesByKindAccountAndClass) {
  Recorder Records;
  LoadStream Stream;
  Stream.Name = "small";
  Stream.Kind = KindOfWorkId("proof");
  Stream.Account = ClientAccountId("acme");
  PlannedRequest First;
  First.Caller = CallerId("first");
  PlannedRequest Second;
  Second.Caller = CallerId("second");
  Records.record(Stream, First, {"ok", "ran", absl::Milliseconds(20), {}});
  Records.record(Stream, First, {"ok", "ran", absl::Milliseconds(40), {}});
  Records.record(Stream, Second, {"ok", "ran", absl::Milliseconds(60), {}});
  Records.record(Stream, Second,
                 {"queue_full", "not_run", absl::Milliseconds(1), {}});
  Records.record(Stream, Second,
                 {Outcome::WrongAnswer, "ran", absl::Milliseconds(1), {}});

  nlohmann::json Json = Report::json(Records);
  const nlohmann::json &Kind = Json["kinds"]["proof"];
  EXPECT_EQ(Kind["sent"], 5);
  EXPECT_EQ(Kind["ok"], 3);
  EXPECT_DOUBLE_EQ(Kind["p50_ms"], 40);
  EXPECT_DOUBLE_EQ(Kind["max_ms"], 60);
  EXPECT_EQ(Kind["outcomes"]["queue_full/not_run"], 1);
  EXPECT_EQ(Json["accounts"]["acme"], Kind);
  EXPECT_EQ(Json["wrong_answers"], 1);
  // Shares 1 and 1/3.
  EXPECT_NEAR(Json["classes"]["small"]["jain"], 0.8, 1e-9);
  EXPECT_NE(Report::table(Records).find("queue_full/not_run=1"),
            std::string::npos);
}
