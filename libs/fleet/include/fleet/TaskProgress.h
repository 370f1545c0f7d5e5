#ifndef VANILLAYARD_FLEET_TASKPROGRESS_H
#define VANILLAYARD_FLEET_TASKPROGRESS_H

#include "base/Ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillayard {

/// Progress of a task that is stored, so that it survives a change of leader.
struct TaskProgress {
  bool IsDone = false;
  /// Numbers of the runs that failed; for a gang, only its first task has them.
  /// A counter or the newest number would not do: a worker may report an end
  /// twice, and the reports of several workers may arrive in any order.
  std::vector<int64_t> FailedRuns;
  /// Newest checkpoint; empty for none.
  std::string Checkpoint;
  /// Worker that may have a run of the task, and the number of that run; empty
  /// if there is none. Recorded before the start order is sent, so the next
  /// leader knows where to look for runs.
  WorkerId PlacedOn{};
  int64_t PlacedRun = 0;

  friend bool operator==(const TaskProgress &, const TaskProgress &) = default;
};

} // namespace vanillayard

#endif
