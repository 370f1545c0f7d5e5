#ifndef VANILLAYARD_SCHEDULER_STARTORDER_H
#define VANILLAYARD_SCHEDULER_STARTORDER_H

#include "base/Ids.h"
#include "fleet/TaskKey.h"

#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace vanillayard {

/// Order to a worker to start one run.
struct StartOrder {
  WorkerId Worker;
  TaskKey Task;
  /// Run number. Increases with each start of the task; equal for all members
  /// of a gang.
  int64_t Run = 0;
  std::string Specification;
  /// Checkpoint to resume from; empty to start from the beginning.
  std::string Checkpoint;
  /// Priority of the job; 0 is the most urgent.
  int Priority = 0;
  /// Time from when the task's step became ready to this order.
  absl::Duration WaitTime = absl::ZeroDuration();
};

} // namespace vanillayard

#endif
