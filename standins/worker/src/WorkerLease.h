#ifndef VANILLAYARD_STANDIN_WORKER_WORKERLEASE_H
#define VANILLAYARD_STANDIN_WORKER_WORKERLEASE_H

#include "standin_worker/TaskBody.h"
#include "standin_worker/WorkerModel.h"

namespace vanillayard {

/// A lease that the worker holds, with its task.
struct WorkerModel::Lease {
  LeaseReport Report;
  TaskBody Task;
  std::string Result;
  bool FromRun = false;
  absl::Time ExpiresAt;
  Executor::TimerId ExpiryTimer = 0;
  Executor::TimerId EndTimer = 0;
  Executor::TimerId CheckpointTimer = 0;
  absl::Time StartedAt;
  absl::Time EndedAt;
  /// Run time that is left at full speed, as of ProgressAt.
  absl::Duration WorkLeft;
  absl::Time ProgressAt;
  double Speed = 1;
  size_t LogIndex = 0;
  std::vector<Waiter> Waiters;

  bool isActive() const {
    return this->Report.State == LeaseState::Held ||
           this->Report.State == LeaseState::Running;
  }
};

} // namespace vanillayard

#endif
