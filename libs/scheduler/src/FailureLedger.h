#ifndef VANILLAYARD_SCHEDULER_FAILURELEDGER_H
#define VANILLAYARD_SCHEDULER_FAILURELEDGER_H

#include "RunLimit.h"
#include "base/Ids.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <map>
#include <vector>

namespace vanillayard {

/// Attributes failed runs to workers or to jobs, and limits the runs of workers
/// that seem to be faulty, so that they do not use up the attempts of many
/// jobs. Answers days on which workers fail all that they start, and days with
/// jobs that can never be done.
///
/// - The unit that counts against a worker is an observation: runs of one job
///   that ran there at the same time are one observation, however many failed.
/// - A job that has failed on more workers than are likely to be faulty at the
///   same time, and has completed nothing, counts against no worker.
/// - A worker with two observations rests. Its next run is a single one, which
///   ends the limit when it is done and lengthens the rest when it fails.
/// - Limits apply to at most a quarter of the workers of a pool, those with the
///   most observations.
class FailureLedger {
public:
  /// \param StartedAt when the failed run started.
  /// \param HasJobCompletedTasks a task of the job is done.
  void runFailed(const WorkerId &Worker, const JobId &Job, absl::Time StartedAt,
                 bool HasJobCompletedTasks, absl::Time Now);
  /// Clears the worker and shows that the job can be done.
  void runDone(const WorkerId &Worker, const JobId &Job);
  /// Forgets the failures of a worker that has left or restarted.
  void forgetWorker(const WorkerId &Worker);

  /// Returns the limits of the workers of one pool; workers without a limit are
  /// left out.
  /// \param Pool the workers that can take runs. Cost: linear in their number
  ///        and in the number of failures since the last run that was done.
  std::map<WorkerId, RunLimit> limits(const std::vector<WorkerId> &Pool,
                                      absl::Time Now) const;
  /// True if no failures count against any worker.
  bool isEmpty() const { return this->Workers.empty(); }

private:
  /// Failures of one job on one worker since the worker's last done run.
  struct JobFailures {
    int Runs = 0;
    int Observations = 0;
    absl::Time ObservedAt = absl::InfinitePast();
    bool HasCompletedTasks = false;
  };
  /// Failures that count against one worker.
  struct Evidence {
    int Runs = 0;
    int Observations = 0;
    absl::Time ObservedAt = absl::InfinitePast();
  };
  using FailuresByJob = std::map<JobId, JobFailures>;

  Evidence evidenceAgainst(const FailuresByJob &Failures,
                           const std::map<JobId, int> &WorkersByJob,
                           int MaxFaulty) const;

  absl::flat_hash_map<WorkerId, FailuresByJob> Workers;
};

} // namespace vanillayard

#endif
