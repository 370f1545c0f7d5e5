#include "policy/DataCentreSelector.h"

#include <random>

namespace vanillayard {

// Forwarding starts when the local delay exceeds the first threshold and stops
// when it falls to the second. The difference is the hysteresis.
static constexpr absl::Duration SpillOverStartDelay = absl::Milliseconds(200);
static constexpr absl::Duration SpillOverEndDelay = absl::Milliseconds(100);
// Maximum delay of a target as a share of the local delay; otherwise the gain
// is not worth the extra hop.
static constexpr double MaxRelativeDelay = 0.5;
// Hosts report with every heartbeat (1 s), and a peer becomes suspect after
// 3 s without one.
static constexpr absl::Duration MaxReportAge = absl::Seconds(3);
// Added to every delay to keep the weight of an idle data centre finite.
static constexpr double DelayFloorSeconds = 0.02;

/// Baseline: never forwards a request.
class LocalOnlySelector final : public DataCentreSelector {
public:
  std::optional<DataCentreId> pick(absl::Duration /*LocalDelay*/,
                                   std::span<const DataCentreLoad> /*Others*/,
                                   absl::Time /*Now*/) override {
    return std::nullopt;
  }
};

/// Chooses at random between the local data centre and the less loaded ones,
/// with weights in inverse proportion to their delays. If every host chose the
/// least loaded data centre instead, all of them would forward to that one
/// until its next report.
class SpillOverSelector final : public DataCentreSelector {
public:
  explicit SpillOverSelector(uint64_t Seed) : Random(Seed) {}

  std::optional<DataCentreId> pick(absl::Duration LocalDelay,
                                   std::span<const DataCentreLoad> Others,
                                   absl::Time Now) override {
    this->IsSpillingOver =
        LocalDelay >
        (this->IsSpillingOver ? SpillOverEndDelay : SpillOverStartDelay);
    if (!this->IsSpillingOver)
      return std::nullopt;
    double TotalWeight = weightForDelay(LocalDelay);
    for (const DataCentreLoad &Other : Others)
      TotalWeight += this->weightOf(Other, LocalDelay, Now);
    double Draw =
        std::uniform_real_distribution<double>(0, TotalWeight)(this->Random);
    for (const DataCentreLoad &Other : Others) {
      double Weight = this->weightOf(Other, LocalDelay, Now);
      if (Draw < Weight)
        return Other.DataCentre;
      Draw -= Weight;
    }
    return std::nullopt;
  }

private:
  static double weightForDelay(absl::Duration Delay) {
    return 1 / (DelayFloorSeconds + absl::ToDoubleSeconds(Delay));
  }

  static double weightOf(const DataCentreLoad &Other, absl::Duration LocalDelay,
                         absl::Time Now) {
    if (!Other.Reachable || Now - Other.ReportTime > MaxReportAge ||
        Other.QueueDelay > LocalDelay * MaxRelativeDelay)
      return 0;
    return weightForDelay(Other.QueueDelay);
  }

  std::mt19937_64 Random;
  bool IsSpillingOver = false;
};

std::unique_ptr<DataCentreSelector>
DataCentreSelector::create(DataCentreChoice Choice, uint64_t Seed) {
  if (Choice == DataCentreChoice::LocalOnly)
    return std::make_unique<LocalOnlySelector>();
  return std::make_unique<SpillOverSelector>(Seed);
}

} // namespace vanillayard
