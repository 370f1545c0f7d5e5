#ifndef VANILLAYARD_CONTROL_RENEWREPLY_H
#define VANILLAYARD_CONTROL_RENEWREPLY_H

#include "fleet/WorkerReport.h"
#include "scheduler/OrderAnswer.h"

namespace vanillayard {

/// A worker's answer to a lease renewal.
struct RenewReply {
  OrderAnswer Answer = OrderAnswer::Unknown;
  /// Valid only if Answer is Accepted.
  WorkerReport Report;
};

} // namespace vanillayard

#endif
