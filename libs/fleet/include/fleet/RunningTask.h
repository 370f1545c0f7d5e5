#ifndef VANILLAYARD_FLEET_RUNNINGTASK_H
#define VANILLAYARD_FLEET_RUNNINGTASK_H

#include "fleet/TaskKey.h"

#include <cstdint>
#include <string>

namespace vanillayard {

/// A run that a worker reports as not yet ended.
struct RunningTask {
  TaskKey Task;
  int64_t Run = 0;
  std::string Checkpoint;
  /// Completed share of the task's work, 0 to 1, in steps of 0.01; negative if
  /// not reported.
  double Completed = -1;
};

} // namespace vanillayard

#endif
