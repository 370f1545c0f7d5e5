#ifndef VANILLAYARD_SCHEDULER_ARRIVALRATE_H
#define VANILLAYARD_SCHEDULER_ARRIVALRATE_H

#include "absl/time/time.h"

namespace vanillayard {

/// Exponentially weighted moving average of the rate at which an amount
/// arrives.
class ArrivalRate {
public:
  /// Time after which the weight of an arrival has decayed to 1/e.
  static constexpr absl::Duration TimeConstant = absl::Seconds(8);

  void add(double Amount, absl::Time Now);
  /// Amount per second.
  double perSecond(absl::Time Now) const;

private:
  double Rate = 0;
  absl::Time UpdatedAt = absl::InfinitePast();
};

} // namespace vanillayard

#endif
