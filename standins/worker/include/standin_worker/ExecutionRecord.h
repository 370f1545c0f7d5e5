#ifndef VANILLAYARD_STANDIN_WORKER_EXECUTIONRECORD_H
#define VANILLAYARD_STANDIN_WORKER_EXECUTIONRECORD_H

#include "endpoint/WorkerTypes.h"

#include "absl/time/time.h"

#include <string>

namespace vanillayard {

/// One run of a task on a worker, recorded for test oracles.
struct ExecutionRecord {
  std::string Owner;
  LeaseId Lease;
  WorkerId Worker;
  std::string Incarnation;
  ClientAccountId Account;
  KindOfWorkId Kind;
  std::vector<int> Accelerators;
  int Member = 0;
  int GangSize = 1;
  std::string BodyDigest;
  absl::Time Started;
  /// InfiniteFuture while the task runs.
  absl::Time Ended = absl::InfiniteFuture();
  /// Running, or how the task ended. Unknown if the worker restarted or was
  /// destroyed during the run.
  LeaseState State = LeaseState::Running;
};

} // namespace vanillayard

#endif
