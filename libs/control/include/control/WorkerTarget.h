#ifndef VANILLAYARD_CONTROL_WORKERTARGET_H
#define VANILLAYARD_CONTROL_WORKERTARGET_H

#include "base/Ids.h"

namespace vanillayard {

/// The worker that an order is addressed to. Another worker at the same address
/// refuses the order.
struct WorkerTarget {
  WorkerId Id;
  Endpoint Address;
};

} // namespace vanillayard

#endif
