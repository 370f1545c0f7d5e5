#ifndef VANILLAYARD_PREDICTION_WORKESTIMATE_H
#define VANILLAYARD_PREDICTION_WORKESTIMATE_H

#include "absl/time/time.h"

namespace vanillayard {

/// Expected work of one task: its run time on a worker of the reference speed,
/// near its data. The logarithm of the run time in seconds is taken as normally
/// distributed, because run times spread by factors and have long tails.
struct WorkEstimate {
  double LogMean = 0;
  double LogVariance = 1;

  /// Median run time on a worker whose speed has the logarithm \p LogSpeed.
  absl::Duration median(double LogSpeed = 0) const {
    return this->quantile(0, LogSpeed);
  }
  /// Run time that is not exceeded with the probability of \p Deviations
  /// standard deviations: 0 is the median, 1.28 the 90th percentile.
  absl::Duration quantile(double Deviations, double LogSpeed = 0) const;
};

} // namespace vanillayard

#endif
