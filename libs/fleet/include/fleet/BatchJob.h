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

/// An accepted job: what to run, and a copy of its queue's settings at that
/// time. Immutable once accepted.
struct BatchJob {
  JobId Id;
  /// Name of the queue that it was submitted to.
  std::string Queue;
  ClientAccountId Account;
  /// Pool of workers that runs its tasks.
  std::string WorkerPool;
  /// 0 is the most urgent.
  int Priority = 0;
  /// The job fails when one task, or one gang, has failed this many times.
  int MaxAttempts = 1;
  /// The latency objective is Stretch x criticalPathDuration() + TargetLatency.
  double Stretch = 1.0;
  absl::Duration TargetLatency = absl::ZeroDuration();
  /// When the host received the submission.
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
  /// Estimated duration of the critical path through the steps, without
  /// queueing.
  absl::Duration criticalPathDuration() const;
  /// Largest number of accelerators that one step needs if all its tasks run
  /// at the same time.
  int64_t maxAcceleratorsPerStep() const;
};

/// Limits on a job that is accepted. They bound the memory that one job takes
/// and the size of its progress record.
struct BatchJobLimits {
  static constexpr int MaxSteps = 64;
  static constexpr int MaxTasksPerStep = 4096;
  static constexpr int MaxOccurrences = 1024;
  /// Tasks of all steps and occurrences together. The progress record, with a
  /// checkpoint for each task, must fit in a value of the store (1 MiB).
  static constexpr int64_t MaxTasks = 8192;
  static constexpr absl::Duration MaxEstimate = absl::Hours(24 * 365);
  static constexpr size_t MaxSpecificationBytes = 4000;
};

/// Checks counts, sizes and dependencies between steps, but not whether the
/// fleet can run the job. Errors: InvalidRequest; Unsupported for long-running
/// steps and steps on idle capacity.
absl::Status validate(const BatchJob &Job);

} // namespace vanillayard

#endif
