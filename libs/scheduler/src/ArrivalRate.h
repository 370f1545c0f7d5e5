#ifndef VANILLAYARD_SCHEDULER_ARRIVALRATE_H
#define VANILLAYARD_SCHEDULER_ARRIVALRATE_H

#include "absl/time/time.h"

namespace vanillayard {

/// Rate at which an amount arrives, averaged with exponentially falling weight.
class ArrivalRate {
public:
  /// Time after which an arrival has lost most of its weight.
  static constexpr absl::Duration Memory = absl::Seconds(8);

  void add(double Amount, absl::Time Now);
  /// Amount per second.
  double perSecond(absl::Time Now) const;

private:
  double Rate = 0;
  absl::Time UpdatedAt = absl::InfinitePast();
};

} // namespace vanillayard

#endif
