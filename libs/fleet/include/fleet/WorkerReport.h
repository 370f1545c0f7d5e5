#ifndef VANILLAYARD_FLEET_WORKERREPORT_H
#define VANILLAYARD_FLEET_WORKERREPORT_H

#include "fleet/RunEnd.h"
#include "fleet/RunningTask.h"

#include "absl/time/time.h"

#include <cstdint>
#include <vector>

namespace vanillayard {

/// A worker's answer to a lease renewal.
struct WorkerReport {
  /// Start of this incarnation in milliseconds since the Unix epoch (1970); 0
  /// if not reported.
  int64_t Incarnation = 0;
  /// Time since the start of the incarnation, by the worker's clock.
  absl::Duration Clock = absl::ZeroDuration();
  std::vector<RunningTask> Running;
  /// Runs that ended after the last acknowledged end; a report may hold only
  /// the first page of them.
  std::vector<RunEnd> Ends;
};

} // namespace vanillayard

#endif
