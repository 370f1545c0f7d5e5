#ifndef VANILLAYARD_FLEET_BATCHJOB_H
#define VANILLAYARD_FLEET_BATCHJOB_H

#include "base/Ids.h"
#include "fleet/BatchStep.h"
#include "fleet/Recurrence.h"

#include "absl/status/status.h"
#include "absl/time/time.h"

#include <string>
#include <vector>

namespace vanillayard {

/// A job as it was accepted: what to run, and the terms of its queue at that
/// time. Never changes afterwards.
struct BatchJob {
  JobId Id;
  /// Name of the queue that it was submitted to.
  std::string Queue;
  ClientAccountId Account;
  /// Pool of workers that runs its tasks.
  std::string Service;
  /// 0 is the most urgent.
  int Priority = 0;
  /// Runs of one task, or of one gang, that may fail before the job has.
  int MaxAttempts = 1;
  /// The latency objective is Stretch x (longest chain) + TargetLatency.
  double Stretch = 1.0;
  absl::Duration TargetLatency = absl::ZeroDuration();
  /// When the host received it.
  absl::Time Submitted;
  /// Passed to the workers unchanged.
  std::string Specification;
  std::vector<BatchStep> Steps;
  Recurrence Schedule;

  int occurrenceCount() const {
    return this->Schedule.Count > 0 ? this->Schedule.Count : 1;
  }
  /// When the occurrence may start; InfinitePast for a job that runs once.
  absl::Time dueTime(int Occurrence) const;
  /// Estimated time of the longest chain of steps, without waiting.
  absl::Duration longestChain() const;
  /// Accelerators that the widest step needs at once.
  int64_t widestStep() const;
};

/// Largest job that is accepted. They bound the memory that one job takes and
/// the size of its progress record.
struct BatchJobLimits {
  static constexpr int MaxSteps = 64;
  static constexpr int MaxTasksPerStep = 4096;
  static constexpr int MaxOccurrences = 1024;
  static constexpr size_t MaxSpecificationBytes = 4000;
};

/// Checks what does not depend on the fleet: counts, sizes and references
/// between steps. Errors: InvalidRequest; Unsupported for kinds of steps that
/// are not served yet.
absl::Status validate(const BatchJob &Job);

} // namespace vanillayard

#endif
