#ifndef VANILLAYARD_SCHEDULER_ORDERS_H
#define VANILLAYARD_SCHEDULER_ORDERS_H

#include "scheduler/StartOrder.h"
#include "scheduler/StopOrder.h"

#include <vector>

namespace vanillayard {

/// Orders to the workers from one call of Scheduler::plan().
struct Orders {
  std::vector<StopOrder> Stops;
  std::vector<StartOrder> Starts;
};

} // namespace vanillayard

#endif
