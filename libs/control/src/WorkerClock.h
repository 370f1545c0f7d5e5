#ifndef VANILLAYARD_CONTROL_WORKERCLOCK_H
#define VANILLAYARD_CONTROL_WORKERCLOCK_H

namespace vanillayard {

/// Minimum rate of a worker's clock relative to the host's. From the platform's
/// protocol.
inline constexpr double SlowestWorkerClock = 0.98;
/// Maximum rate of a worker's clock relative to the host's: the same deviation
/// in the other direction.
inline constexpr double FastestWorkerClock = 1.02;

} // namespace vanillayard

#endif
