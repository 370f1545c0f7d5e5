#ifndef VANILLAYARD_FLEET_BATCHSTEP_H
#define VANILLAYARD_FLEET_BATCHSTEP_H

#include "base/Ids.h"
#include "fleet/Resources.h"

#include "absl/time/time.h"

#include <string>
#include <vector>

namespace vanillayard {

/// A step of a job: equal tasks that become ready together.
struct BatchStep {
  int TaskCount = 1;
  Resources PerTask;
  /// The submitter's rough estimate of one task's run time; zero if unknown.
  absl::Duration Estimate = absl::ZeroDuration();
  /// Positions of the earlier steps that must be done first.
  std::vector<int> After;
  /// The tasks save checkpoints and can resume from them.
  bool IsCheckpointing = false;
  /// All tasks run together, under one run number, or not at all.
  bool IsGang = false;
  /// The tasks run slower when they are spread over several racks.
  bool PrefersSameRack = false;
  /// Label that a worker must have; empty if any will do.
  std::string RequiredLabel;
  /// Rack that holds the data; the tasks run slower elsewhere. May be empty.
  RackId DataRack;
  /// Most tasks of the step and occurrence on one worker; 0 for no limit.
  int MaxPerWorker = 0;
  /// The tasks run until the job is cancelled. Not served yet.
  bool IsLongRunning = false;
  /// The tasks use only capacity that others leave idle. Not served yet.
  bool UsesIdleCapacity = false;
  /// Several copies of a task may run; the first to finish counts.
  bool AllowsDuplicates = false;
};

} // namespace vanillayard

#endif
