#ifndef VANILLAYARD_CONTROL_WORKERCLOCK_H
#define VANILLAYARD_CONTROL_WORKERCLOCK_H

namespace vanillayard {

/// Workers' clocks run at least this fast. From the platform's protocol.
inline constexpr double SlowestWorkerClock = 0.98;
/// Workers' clocks run at most this fast: the same deviation the other way.
inline constexpr double FastestWorkerClock = 1.02;

} // namespace vanillayard

#endif
