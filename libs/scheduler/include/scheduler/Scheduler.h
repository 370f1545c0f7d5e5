#ifndef VANILLAYARD_SCHEDULER_SCHEDULER_H
#define VANILLAYARD_SCHEDULER_SCHEDULER_H

#include "fleet/BatchJob.h"
#include "fleet/FleetConfiguration.h"
#include "fleet/JobProgress.h"
#include "fleet/WorkerRegistration.h"
#include "fleet/WorkerReport.h"
#include "prediction/RunTimeModel.h"
#include "scheduler/EvacuationUse.h"
#include "scheduler/OrderAnswer.h"
#include "scheduler/Orders.h"
#include "scheduler/ProgressChange.h"
#include "scheduler/SchedulerSettings.h"
#include "scheduler/WaitReason.h"

#include "absl/container/flat_hash_set.h"
#include "absl/status/status.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace vanillayard {

class Log;

/// Decides which task runs on which worker, based on the reports of the
/// workers. Does no I/O and reads no clock: the caller passes in reports,
/// answers and the time, and sends the orders that plan() returns.
///
/// \code
///   Scheduler S(Settings, FirstRun, Log);
///   S.updateWorker(Registration);
///   S.setUsable(Registration.Id, true);
///   S.addJob(Job, JobProgress(Job), false, Now);
///   S.plan(Now);                      // reserves workers
///   S.takeChanges(32);                // write them; for each one:
///   S.progressWritten(Change);
///   Orders Round = S.startRecorded(Now); // send them; for each answer:
///   S.startAnswered(Round.Starts[0], OrderAnswer::Accepted, Now);
///   S.reportReceived(Registration.Id, Report, AskedAt, Now);
///   S.takeChanges(32);                // write them, then acknowledge the ends
/// \endcode
///
/// A task has at most one run: the next one starts only when a report, a
/// refused start or the expired lease of the worker has proved that the last
/// one is over.
class Scheduler {
public:
  /// \param FirstRun run numbers start above it. It must be higher than any run
  ///        number that an earlier leader has used.
  Scheduler(const SchedulerSettings &Settings, int64_t FirstRun, Log &Events);
  ~Scheduler();

  /// Replaces the guarantees of the client accounts by those of
  /// \p Configuration.
  void setConfiguration(const FleetConfiguration &Configuration);

  /// Adds a job. Does nothing if its id is known. A task that \p Progress names
  /// a worker for may have a run there, and is not started again before the
  /// worker's next report, or the end of its lease, shows that the run is over.
  /// \param MayHaveRuns an earlier leader may have started tasks of the job on
  ///        workers that \p Progress does not name, so none of them is started
  ///        before finishRecovery().
  void addJob(BatchJob Job, JobProgress Progress, bool MayHaveRuns,
              absl::Time Now);
  /// Moves the job to the cancelled state and stops its runs. Does nothing if
  /// it is unknown or in a final state.
  void cancelJob(const JobId &Id, absl::Time Now);
  bool hasJob(const JobId &Id) const;

  /// Allows starts of the jobs that were added with MayHaveRuns, and stops
  /// gangs of which not all members were found. Call it once every worker that
  /// may hold runs of an earlier leader has reported or its lease has expired.
  void finishRecovery();

  /// Adds a worker, or replaces the registration of a known one.
  void updateWorker(const WorkerRegistration &Registration);
  /// \param IsUsable orders may be sent to the worker.
  void setUsable(const WorkerId &Worker, bool IsUsable);
  /// Replaces the data centres that are being evacuated. Their workers get no
  /// new tasks; placements there that were not started are given up; what runs
  /// there continues.
  void setEvacuated(const absl::flat_hash_set<DataCentreId> &DataCentres);
  bool isEvacuated(const WorkerId &Worker) const;
  EvacuationUse evacuationUse() const;
  /// Removes the runs of the worker, as its lease has expired, and stops the
  /// other members of their gangs. Keeps the runs that an incarnation which is
  /// not known yet may still hold.
  void workerLeaseExpired(const WorkerId &Worker, absl::Time Now);
  /// Call it when the registrations show that no worker has restarted between
  /// \p Since and \p Until without that being known. The outcome of starts that
  /// were given up in this time no longer depends on a restart.
  void restartsExcluded(absl::Time Since, absl::Time Until);
  /// Call it when the worker has restarted: it numbers its ends from 1 again.
  /// Its next report shows which runs are left.
  void workerRestarted(const WorkerId &Worker);
  /// Removes a worker. It must hold no runs.
  void removeWorker(const WorkerId &Worker);
  /// Workers that may hold runs, including reserved ones and those that are not
  /// registered.
  std::vector<WorkerId> workersWithRuns() const;
  /// Number of runs that the worker may hold, including reserved ones.
  size_t runCount(const WorkerId &Worker) const;
  /// True if the worker may hold a run for which a start order was sent, so
  /// that it needs a lease.
  bool hasStartedRuns(const WorkerId &Worker) const;

  /// What was learned of run times and speeds, as a record for a successor.
  std::string encodeRunTimes() const;
  /// Continues from the record of an earlier leader. Does nothing if this
  /// scheduler has learned something itself, or does not learn.
  /// Error: InvalidRequest if the record cannot be read; the submitters'
  /// estimates are then used as in a fresh fleet.
  absl::Status restoreRunTimes(std::string_view Record, absl::Time Now);
  /// Mean errors of estimates and of predictions, by queue.
  std::vector<RunTimeModel::QueueError> runTimeErrors() const;
  /// Number of workers that are known to be slow.
  size_t slowWorkerCount() const;

  /// True if the order still has to be carried out: its run is neither
  /// confirmed nor to be stopped.
  bool isStartPending(const StartOrder &Order) const;
  /// Applies the answer of a worker to a start order.
  /// \param HeldUntil if the answer is Unknown: when the run has ended at the
  ///        latest if an incarnation of the worker that is not known yet has
  ///        started it.
  void startAnswered(const StartOrder &Order, OrderAnswer Answer,
                     absl::Time Now,
                     absl::Time HeldUntil = absl::InfinitePast());
  /// Applies the result of a stop order.
  /// \param IsAccepted the worker has accepted the stop; otherwise the next
  ///        plan() returns the order again.
  void stopAnswered(const StopOrder &Order, bool IsAccepted, absl::Time Now);
  /// Applies a report of a worker. Does nothing if the worker is unknown.
  /// \param AskedAt when the leader requested the report.
  void reportReceived(const WorkerId &Worker, const WorkerReport &Report,
                      absl::Time AskedAt, absl::Time Now);
  /// Highest sequence number of the ends applied from the worker's current
  /// incarnation; 0 if there is none.
  int64_t lastEndSequence(const WorkerId &Worker) const;

  /// Places the tasks that can be placed and returns the orders to send now. A
  /// task is started once its placement is recorded and its room is free.
  Orders plan(absl::Time Now);
  /// Returns the start orders whose placement has been recorded since the last
  /// plan(). Places nothing.
  Orders startRecorded(absl::Time Now);
  /// Placements of urgent tasks wait to be written before the tasks can be
  /// started.
  bool hasUnrecordedUrgentPlacements() const;
  /// True if tasks wait for a due time, for resources or for an answer, so that
  /// plan() has to be called again.
  bool hasWaitingWork() const;

  /// Returns changed progress records that have to be written, at most \p Max.
  /// Each change is returned once, unless progressWriteFailed() marks it again.
  /// \param Excluded jobs whose last change is still being written.
  std::vector<ProgressChange>
  takeChanges(size_t Max, const absl::flat_hash_set<JobId> &Excluded = {});
  bool hasChanges() const;
  /// The write has failed: takeChanges() returns the progress of the job again.
  void progressWriteFailed(const JobId &Job);
  /// The record has been written. A job whose final record is written is
  /// removed once it has no runs left.
  void progressWritten(const ProgressChange &Change);

  /// Number of jobs without a schedule that have not started, by queue.
  std::map<std::string, int64_t> waitingJobsByQueue() const;
  /// Number of ready tasks that the last plan() left without a run, by reason.
  const std::map<WaitReason, int64_t> &waitingTasksByReason() const;
  size_t jobCount() const;

  class Impl;

private:
  std::unique_ptr<Impl> Implementation;
};

} // namespace vanillayard

#endif
