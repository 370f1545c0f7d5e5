#ifndef VANILLAYARD_LOAD_PLANNEDREQUEST_H
#define VANILLAYARD_LOAD_PLANNEDREQUEST_H

#include "base/Ids.h"

#include "absl/time/time.h"

#include <cstddef>

namespace vanillayard {

/// One scheduled request of a workload.
struct PlannedRequest {
  /// Time to send, from the start of the run.
  absl::Duration ScheduledTime;
  /// Index in Workload::streams().
  size_t StreamIndex = 0;
  CallerId Caller;
  /// Position in the schedule; makes bodies and idempotency keys unique.
  size_t Sequence = 0;
  int GangSize = 1;
};

} // namespace vanillayard

#endif
