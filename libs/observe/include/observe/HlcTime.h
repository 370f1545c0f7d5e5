#ifndef VANILLAYARD_OBSERVE_HLCTIME_H
#define VANILLAYARD_OBSERVE_HLCTIME_H

#include <compare>
#include <cstdint>

namespace vanillayard {

/// Timestamp of a hybrid logical clock. If one event may have caused another,
/// the timestamp of the cause is the lower one.
struct HlcTime {
  /// Microseconds since the Unix epoch.
  int64_t PhysicalUs = 0;
  /// Orders events with equal PhysicalUs; 0 for the first one.
  int64_t Logical = 0;

  friend auto operator<=>(const HlcTime &, const HlcTime &) = default;
};

} // namespace vanillayard

#endif
