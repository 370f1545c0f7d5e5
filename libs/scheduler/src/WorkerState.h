#ifndef VANILLAYARD_SCHEDULER_WORKERSTATE_H
#define VANILLAYARD_SCHEDULER_WORKERSTATE_H

#include "RunLimit.h"
#include "fleet/Resources.h"
#include "fleet/WorkerRegistration.h"

#include "absl/time/time.h"

#include <vector>

namespace vanillayard {

struct RunRecord;

/// State of one worker in the scheduler.
struct WorkerState {
  WorkerRegistration Registration;
  /// Orders may be sent: the worker is registered, has answered the current
  /// leader, and its lease is known.
  bool IsUsable = false;
  /// The worker's data centre is being evacuated.
  bool IsEvacuated = false;
  /// Resources of all its runs, including reserved ones.
  Resources Committed;
  /// Resources that its runs may be using now: all but the reserved ones.
  Resources Occupied;
  std::vector<RunRecord *> Runs;
  /// Logarithm of the speed relative to the fastest workers, and whether the
  /// worker is known to be slow; set by each plan.
  double LogSpeed = 0;
  bool IsSlow = false;
  /// Set by each plan from the failures on the worker.
  RunLimit Limit = RunLimit::Unlimited;
  /// The worker gets no new tasks before this time, as it has refused a start.
  absl::Time RefusedUntil = absl::InfinitePast();

  /// New tasks may be placed on the worker.
  bool mayTakeTasks() const {
    return this->IsUsable && !this->Registration.IsDraining &&
           !this->IsEvacuated;
  }
  /// Resources that are not committed.
  Resources free() const {
    return this->Registration.Capacity - this->Committed;
  }
};

} // namespace vanillayard

#endif
