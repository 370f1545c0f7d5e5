#ifndef VANILLAYARD_SCHEDULER_SCHEDULERTERMS_H
#define VANILLAYARD_SCHEDULER_SCHEDULERTERMS_H

#include "absl/time/time.h"

namespace vanillayard {

/// Properties of the deployment that decisions depend on. The defaults are
/// those of today's deployments; the host's settings replace them.
struct SchedulerTerms {
  /// Longest time that a worker takes to stop a run.
  absl::Duration StopTimeout = absl::Milliseconds(900);
  /// Time between two checkpoints of a task.
  absl::Duration CheckpointInterval = absl::Seconds(2);
  /// Factor of the run time away from the data's rack, or of a gang that is
  /// spread over racks.
  double RemoteFactor = 3.0;
  /// Room that less urgent work leaves free, as the time for which urgent work
  /// arriving at its recent rate finds room without stopping anything. Zero
  /// lets other work fill the fleet.
  absl::Duration UrgentHeadroom = absl::Seconds(2);
};

} // namespace vanillayard

#endif
