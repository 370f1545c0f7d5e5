#include "config/ConfigurationDiff.h"

#include "DocumentMutations.h"

#include "config/ConfigurationCodec.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace vanillayard;

// Guards against a change that an operator does not see before applying it,
// and against a difference reported when only the order changed.
TEST(ConfigurationDiffTest, ReportsEveryChangeButNotOrder) {
  Configuration From =
      *ConfigurationCodec::decode(readSample("configuration.json"));
  Configuration To = From;
  std::reverse(To.Accounts.begin(), To.Accounts.end());
  std::reverse(To.Presets.begin(), To.Presets.end());
  To.Generation = 2;
  EXPECT_TRUE(ConfigurationDiff::compare(From, To).empty());

  To.PresetInForce = PresetId("peak");
  To.Bounds.MaxQueued = 5;
  To.Accounts[0].Guarantees[0].Count = 3;
  To.Accounts[0].Guarantees.pop_back();
  To.Presets[0].KindWeights[KindOfWorkId("photo-match")] = 2;
  To.Kinds.push_back({KindOfWorkId("new-kind"), Urgency::Normal});
  const std::string NewKind =
      "+ kinds[new-kind]: {\"default_deadline_ms\":30000,"
      "\"repeatable_by_default\":false,\"urgency\":\"normal\"}";
  EXPECT_EQ(
      ConfigurationDiff::compare(From, To),
      (std::vector<std::string>{
          "~ accounts[swanbag].guarantees[dc1 1x4]: 2 -> 3",
          "- accounts[swanbag].guarantees[dc2 1x8]: 2", NewKind,
          "~ limits.max_queued: 100000 -> 5",
          "~ preset_in_force: \"ordinary\" -> \"peak\"",
          "~ presets[maintenance].kind_weights.photo-match: 1.0 -> 2.0"}));
}
