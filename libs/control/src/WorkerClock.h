#ifndef VANILLAYARD_CONTROL_WORKERCLOCK_H
#define VANILLAYARD_CONTROL_WORKERCLOCK_H

#include "absl/time/time.h"

namespace vanillayard {

/// Minimum rate of a worker's clock relative to the host's. From the platform's
/// protocol.
inline constexpr double SlowestWorkerClock = 0.98;
/// Maximum rate of a worker's clock relative to the host's: the same deviation
/// in the other direction.
inline constexpr double FastestWorkerClock = 1.02;

/// Unit of the readings that workers send, which are rounded down.
inline constexpr absl::Duration WorkerClockResolution = absl::Milliseconds(1);
/// Maximum time after which a worker may still execute an unanswered call: 12 s
/// by the platform's description of late orders, plus the duration of a call.
inline constexpr absl::Duration LongestOrderDelay = absl::Seconds(13);

} // namespace vanillayard

#endif
