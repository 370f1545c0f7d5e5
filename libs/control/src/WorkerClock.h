#ifndef VANILLAYARD_CONTROL_WORKERCLOCK_H
#define VANILLAYARD_CONTROL_WORKERCLOCK_H

namespace vanillayard {

/// Workers' clocks run at least this fast. From the platform's protocol.
inline constexpr double SlowestWorkerClock = 0.98;

} // namespace vanillayard

#endif
