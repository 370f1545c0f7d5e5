#ifndef VANILLAYARD_REQUESTS_RUNTIMES_H
#define VANILLAYARD_REQUESTS_RUNTIMES_H

#include "base/Ids.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <algorithm>
#include <cmath>

namespace vanillayard {

/// Exponentially weighted mean and mean absolute deviation of the run times of
/// each kind.
class RunTimes {
public:
  void add(const KindOfWorkId &Kind, absl::Duration RunTime) {
    double Seconds = absl::ToDoubleSeconds(RunTime);
    Stats &S = this->Kinds[Kind];
    double Weight = std::max(SampleWeight, 1.0 / ++S.Samples);
    double Error = Seconds - S.Mean;
    S.Mean += Weight * Error;
    S.Deviation += Weight * (std::abs(Error) - S.Deviation);
  }

  /// Expected run time in seconds of one slot; a default for a kind without
  /// samples.
  double expectedSeconds(const KindOfWorkId &Kind) const {
    auto Found = this->Kinds.find(Kind);
    return Found == this->Kinds.end()
               ? DefaultSeconds
               : std::max(MinSeconds, Found->second.Mean);
  }

  /// Run time below which an answer is unlikely; zero while there are too few
  /// samples.
  absl::Duration likelyMinimum(const KindOfWorkId &Kind) const {
    auto Found = this->Kinds.find(Kind);
    if (Found == this->Kinds.end() || Found->second.Samples < MinSamples)
      return absl::ZeroDuration();
    const Stats &S = Found->second;
    return absl::Seconds(
        std::max(0.0, S.Mean - DeviationsBelowMean * S.Deviation));
  }

  /// Run time above which an answer is unlikely; infinite while there are too
  /// few samples.
  absl::Duration likelyMaximum(const KindOfWorkId &Kind) const {
    auto Found = this->Kinds.find(Kind);
    if (Found == this->Kinds.end() || Found->second.Samples < MinSamples)
      return absl::InfiniteDuration();
    const Stats &S = Found->second;
    return absl::Seconds(std::max(MinHedgeDelaySeconds,
                                  S.Mean + DeviationsAboveMean * S.Deviation));
  }

private:
  static constexpr double SampleWeight = 0.02;
  static constexpr double DefaultSeconds = 0.1;
  static constexpr double MinSeconds = 0.001;
  static constexpr int64_t MinSamples = 20;
  static constexpr double DeviationsAboveMean = 4;
  static constexpr double DeviationsBelowMean = 2;
  // With a shorter delay, a hedged attempt costs more than it saves.
  static constexpr double MinHedgeDelaySeconds = 0.02;

  struct Stats {
    double Mean = 0;
    double Deviation = 0;
    int64_t Samples = 0;
  };
  absl::flat_hash_map<KindOfWorkId, Stats> Kinds;
};

} // namespace vanillayard

#endif
