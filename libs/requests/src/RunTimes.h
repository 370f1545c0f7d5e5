#ifndef VANILLAYARD_REQUESTS_RUNTIMES_H
#define VANILLAYARD_REQUESTS_RUNTIMES_H

#include "base/Ids.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <algorithm>
#include <cmath>

namespace vanillayard {

/// Moving mean and deviation of the run times of each kind.
class RunTimes {
public:
  void add(const KindId &Kind, absl::Duration RunTime) {
    double Seconds = absl::ToDoubleSeconds(RunTime);
    Stats &S = this->Kinds[Kind];
    double Weight = std::max(SampleWeight, 1.0 / ++S.Samples);
    double Error = Seconds - S.Mean;
    S.Mean += Weight * Error;
    S.Deviation += Weight * (std::abs(Error) - S.Deviation);
  }

  /// Expected seconds of one slot; a guess for a kind that never ran.
  double cost(const KindId &Kind) const {
    auto Found = this->Kinds.find(Kind);
    return Found == this->Kinds.end()
               ? UnknownSeconds
               : std::max(MinSeconds, Found->second.Mean);
  }

  /// Time before which an answer is unlikely; zero while too few are known.
  absl::Duration earliest(const KindId &Kind) const {
    auto Found = this->Kinds.find(Kind);
    if (Found == this->Kinds.end() || Found->second.Samples < MinSamples)
      return absl::ZeroDuration();
    const Stats &S = Found->second;
    return absl::Seconds(std::max(0.0, S.Mean - DeviationsEarly * S.Deviation));
  }

  /// Time after which an answer is late; infinite while too few are known.
  absl::Duration late(const KindId &Kind) const {
    auto Found = this->Kinds.find(Kind);
    if (Found == this->Kinds.end() || Found->second.Samples < MinSamples)
      return absl::InfiniteDuration();
    const Stats &S = Found->second;
    return absl::Seconds(
        std::max(MinLateSeconds, S.Mean + DeviationsLate * S.Deviation));
  }

private:
  static constexpr double SampleWeight = 0.02;
  static constexpr double UnknownSeconds = 0.1;
  static constexpr double MinSeconds = 0.001;
  static constexpr int64_t MinSamples = 20;
  static constexpr double DeviationsLate = 4;
  static constexpr double DeviationsEarly = 2;
  // Below this, a hedged attempt costs more than it saves.
  static constexpr double MinLateSeconds = 0.02;

  struct Stats {
    double Mean = 0;
    double Deviation = 0;
    int64_t Samples = 0;
  };
  absl::flat_hash_map<KindId, Stats> Kinds;
};

} // namespace vanillayard

#endif
