#ifndef VANILLAYARD_SCHEDULER_JOBTABLE_H
#define VANILLAYARD_SCHEDULER_JOBTABLE_H

#include "JobEntry.h"

#include "absl/container/flat_hash_map.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace vanillayard {

/// The known jobs and the readiness of their steps.
class JobTable {
public:
  /// Adds a job, or returns the existing entry unchanged if the id is known.
  JobEntry &add(BatchJob Job, JobProgress Progress, absl::Time Now);
  JobEntry *find(const JobId &Id);
  void remove(const JobId &Id);

  /// All jobs, in order of id.
  const std::map<JobId, std::unique_ptr<JobEntry>> &all() const {
    return this->Jobs;
  }

  /// Marks one task, or all members of its gang, as done. Marks the steps that
  /// become ready, and finishes the job with its last step.
  void markDone(JobEntry &Entry, const TaskKey &Task, absl::Time Now);
  /// Moves a queued job to the running state: a worker has accepted a start or
  /// has reported a run. A start order alone proves nothing.
  static void markBegun(JobEntry &Entry);
  /// Moves the job to a final state. Does nothing if it is in one.
  void finish(JobEntry &Entry, BatchState State, absl::Time Now);

  /// Sum of the accelerators that the widest step of each unfinished job of
  /// priority 0 of \p Account needs.
  int64_t urgentDemand(const ClientAccountId &Account) const;

  /// Number of jobs without a schedule that have not started, by queue.
  std::map<std::string, int64_t> waitingJobsByQueue() const;

private:
  /// Sets ReadySince of the steps whose predecessors are done.
  void refreshReadiness(JobEntry &Entry, int Occurrence, absl::Time Now);

  std::map<JobId, std::unique_ptr<JobEntry>> Jobs;
  absl::flat_hash_map<ClientAccountId, int64_t> UrgentDemand;
};

} // namespace vanillayard

#endif
