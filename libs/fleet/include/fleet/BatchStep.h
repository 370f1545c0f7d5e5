#ifndef VANILLAYARD_FLEET_BATCHSTEP_H
#define VANILLAYARD_FLEET_BATCHSTEP_H

#include "base/Ids.h"
#include "fleet/Resources.h"

#include "absl/time/time.h"

#include <string>
#include <vector>

namespace vanillayard {

/// A step of a job: identical tasks that become ready at the same time.
struct BatchStep {
  int TaskCount = 1;
  Resources PerTask;
  /// The submitter's rough estimate of one task's run time; zero if unknown.
  absl::Duration Estimate = absl::ZeroDuration();
  /// Positions in the job of the earlier steps that must be done first.
  std::vector<int> DependsOn;
  /// The tasks save checkpoints and can resume from them.
  bool IsCheckpointing = false;
  /// All tasks run together, under one run number, or not at all.
  bool IsGang = false;
  /// The tasks run slower when they are spread over several racks.
  bool PrefersSameRack = false;
  /// Label that a worker must have; empty for no requirement.
  std::string RequiredLabel;
  /// Rack that holds the input data; the tasks run slower elsewhere. Empty for
  /// no preference.
  RackId DataRack;
  /// Maximum number of the step's tasks, within one occurrence, on one worker;
  /// 0 for no limit.
  int MaxPerWorker = 0;
  /// The tasks run until the job is cancelled. Not supported yet.
  bool IsLongRunning = false;
  /// The tasks use only capacity that other jobs leave idle. Not supported yet.
  bool UsesIdleCapacity = false;
  /// Several copies of a task may run; the result of the first to finish is
  /// used.
  bool AllowsDuplicates = false;
};

} // namespace vanillayard

#endif
