#ifndef VANILLAYARD_SCHEDULER_STARTORDER_H
#define VANILLAYARD_SCHEDULER_STARTORDER_H

#include "base/Ids.h"
#include "fleet/TaskKey.h"

#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace vanillayard {

/// Start of one run on a worker.
struct StartOrder {
  WorkerId Worker;
  TaskKey Task;
  /// Rises with each start of the task; equal for all members of a gang.
  int64_t Run = 0;
  std::string Specification;
  /// Checkpoint to resume from; empty to begin anew.
  std::string Checkpoint;
  /// Priority of the job; 0 is the most urgent.
  int Priority = 0;
  /// How long the task's step had waited for this start.
  absl::Duration Waited = absl::ZeroDuration();
};

} // namespace vanillayard

#endif
