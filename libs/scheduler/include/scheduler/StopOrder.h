#ifndef VANILLAYARD_SCHEDULER_STOPORDER_H
#define VANILLAYARD_SCHEDULER_STOPORDER_H

#include "base/Ids.h"
#include "fleet/TaskKey.h"

#include <cstdint>

namespace vanillayard {

/// Order to a worker to stop one run. The worker then refuses to start this run
/// and all earlier runs of the task.
struct StopOrder {
  WorkerId Worker;
  TaskKey Task;
  int64_t Run = 0;
};

} // namespace vanillayard

#endif
