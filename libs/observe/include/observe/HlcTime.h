#ifndef VANILLAYARD_OBSERVE_HLCTIME_H
#define VANILLAYARD_OBSERVE_HLCTIME_H

#include <compare>
#include <cstdint>

namespace vanillayard {

/// A reading of a hybrid logical clock. Times of events that may have caused
/// one another compare in the order of the cause.
struct HlcTime {
  /// Microseconds since the Unix epoch.
  int64_t PhysicalUs = 0;
  /// Counts events within one physical microsecond.
  int64_t Logical = 0;

  friend auto operator<=>(const HlcTime &, const HlcTime &) = default;
};

} // namespace vanillayard

#endif
