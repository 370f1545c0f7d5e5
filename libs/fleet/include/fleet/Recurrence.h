#ifndef VANILLAYARD_FLEET_RECURRENCE_H
#define VANILLAYARD_FLEET_RECURRENCE_H

#include "absl/time/time.h"

namespace vanillayard {

/// Schedule of a recurring job. Occurrence K, counted from 0, is due at
/// FirstDue + K x Interval in wall-clock time; occurrences may overlap.
struct Recurrence {
  /// Number of occurrences; 0 for a job that runs once, as soon as possible.
  int Count = 0;
  absl::Time FirstDue = absl::InfinitePast();
  absl::Duration Interval = absl::ZeroDuration();
};

} // namespace vanillayard

#endif
