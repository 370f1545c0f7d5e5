#ifndef VANILLAYARD_SCHEDULER_SCHEDULERSETTINGS_H
#define VANILLAYARD_SCHEDULER_SCHEDULERSETTINGS_H

#include "absl/time/time.h"

namespace vanillayard {

/// Properties of the deployment that scheduling decisions depend on. The host's
/// settings override the defaults.
struct SchedulerSettings {
  /// Longest time that a worker needs to stop a run.
  absl::Duration StopTimeout = absl::Milliseconds(900);
  /// Time between two checkpoints of a task.
  absl::Duration CheckpointInterval = absl::Seconds(2);
  /// Factor of the run time away from the data's rack, or of a gang that is
  /// spread over racks.
  double RemoteSlowdown = 3.0;
  /// Capacity that less urgent jobs leave free for urgent ones, given as a
  /// time: urgent jobs that arrive at their recent rate for this long need no
  /// preemption. Zero lets other jobs fill the fleet.
  absl::Duration UrgentHeadroom = absl::Seconds(2);
  /// The headroom is at least this many times StopTimeout, unless it is zero:
  /// where stops take long, preemption makes urgent work late.
  double HeadroomStopTimeouts = 4.5;
  /// Orders and places work by run times and speeds of workers that were
  /// learned from earlier runs. If false, by the submitters' estimates, and all
  /// workers are taken for equally fast.
  bool LearnsRunTimes = true;
};

} // namespace vanillayard

#endif
