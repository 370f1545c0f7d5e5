#include "policy/DataCentreSelector.h"

#include <random>

namespace vanillayard {

// Spill-over begins above the first delay and ends below the second.
static constexpr absl::Duration SpillAbove = absl::Milliseconds(200);
static constexpr absl::Duration LocalBelow = absl::Milliseconds(100);
// A target must be this much better to be worth the extra hop.
static constexpr double MaxRelativeDelay = 0.5;
// Reports come with every heartbeat (1 s); a peer is suspect after 3 s.
static constexpr absl::Duration MaxReportAge = absl::Seconds(3);
// Keeps the weight of an idle data centre finite.
static constexpr double DelayFloorSeconds = 0.02;

/// Baseline: never forwards.
class LocalOnlySelector final : public DataCentreSelector {
public:
  std::optional<DataCentreId> pick(absl::Duration /*LocalDelay*/,
                                   std::span<const DataCentreLoad> /*Others*/,
                                   absl::Time /*Now*/) override {
    return std::nullopt;
  }
};

/// Weighted random over the local data centre and the less loaded ones, with
/// weights in inverse proportion to their delays. The one with least load
/// would receive the spill-over of every host until its next report.
class SpillOverSelector final : public DataCentreSelector {
public:
  explicit SpillOverSelector(uint64_t Seed) : Random(Seed) {}

  std::optional<DataCentreId> pick(absl::Duration LocalDelay,
                                   std::span<const DataCentreLoad> Others,
                                   absl::Time Now) override {
    this->Spilling = LocalDelay > (this->Spilling ? LocalBelow : SpillAbove);
    if (!this->Spilling)
      return std::nullopt;
    double Sum = weight(LocalDelay);
    for (const DataCentreLoad &Other : Others)
      Sum += this->weightOf(Other, LocalDelay, Now);
    double Draw = std::uniform_real_distribution<double>(0, Sum)(this->Random);
    for (const DataCentreLoad &Other : Others) {
      double Weight = this->weightOf(Other, LocalDelay, Now);
      if (Draw < Weight)
        return Other.DataCentre;
      Draw -= Weight;
    }
    return std::nullopt;
  }

private:
  static double weight(absl::Duration Delay) {
    return 1 / (DelayFloorSeconds + absl::ToDoubleSeconds(Delay));
  }

  static double weightOf(const DataCentreLoad &Other, absl::Duration LocalDelay,
                         absl::Time Now) {
    if (!Other.Reachable || Now - Other.Reported > MaxReportAge ||
        Other.QueueDelay > LocalDelay * MaxRelativeDelay)
      return 0;
    return weight(Other.QueueDelay);
  }

  std::mt19937_64 Random;
  bool Spilling = false;
};

std::unique_ptr<DataCentreSelector>
DataCentreSelector::create(DataCentreChoice Choice, uint64_t Seed) {
  if (Choice == DataCentreChoice::LocalOnly)
    return std::make_unique<LocalOnlySelector>();
  return std::make_unique<SpillOverSelector>(Seed);
}

} // namespace vanillayard
