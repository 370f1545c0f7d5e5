#ifndef VANILLAYARD_STANDIN_WORKER_WORKERLEASE_H
#define VANILLAYARD_STANDIN_WORKER_WORKERLEASE_H

#include "standin_worker/TaskBody.h"
#include "standin_worker/WorkerModel.h"

namespace vanillayard {

/// A lease of the worker, and its task.
struct WorkerModel::Lease {
  LeaseReport Report;
  TaskBody Task;
  std::string Result;
  /// Acquired by run().
  bool FromRun = false;
  absl::Time ExpiresAt;
  Executor::TimerId ExpiryTimer = 0;
  Executor::TimerId EndTimer = 0;
  Executor::TimerId CheckpointTimer = 0;
  absl::Time StartedAt;
  absl::Time EndedAt;
  /// Remaining run time at full speed, as of ProgressUpdatedAt.
  absl::Duration RemainingRunTime;
  absl::Time ProgressUpdatedAt;
  /// Share of full speed, 0 to 1; set by throttle().
  double Speed = 1;
  /// Index of the run's record in ExecutionLog.
  size_t LogIndex = 0;
  std::vector<Waiter> Waiters;

  bool isActive() const {
    return this->Report.State == LeaseState::Held ||
           this->Report.State == LeaseState::Running;
  }
};

} // namespace vanillayard

#endif
