#ifndef VANILLAYARD_SCHEDULER_SCHEDULER_H
#define VANILLAYARD_SCHEDULER_SCHEDULER_H

#include "fleet/BatchJob.h"
#include "fleet/FleetConfiguration.h"
#include "fleet/JobProgress.h"
#include "fleet/WorkerEntry.h"
#include "fleet/WorkerReport.h"
#include "scheduler/OrderAnswer.h"
#include "scheduler/Orders.h"
#include "scheduler/ProgressChange.h"
#include "scheduler/SchedulerTerms.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace vanillayard {

class Log;

/// Decides which task runs where, from what workers report. Makes no call and
/// reads no clock: reports and answers are passed in, plan() returns orders.
///
/// \code
///   Scheduler S(Terms, FirstRun, Log);
///   S.updateWorker(Entry);
///   S.setUsable(Entry.Id, true);
///   S.addJob(Job, JobProgress(Job), false, Now);
///   Orders Round = S.plan(Now);       // send them, then
///   S.startAnswered(Round.Starts[0], OrderAnswer::Accepted, Now);
///   S.reportReceived(Entry.Id, Report, AskedAt, Now);
///   S.takeChanges(32);                // write them, then acknowledge ends
/// \endcode
///
/// A task has at most one run: another is started only when the end of the
/// last one is proved by a report, by a refusal, or by the loss of its worker.
class Scheduler {
public:
  /// \param FirstRun run numbers begin above it. It must be higher than any
  ///        number that an earlier leader has used.
  Scheduler(const SchedulerTerms &Terms, int64_t FirstRun, Log &Events);
  ~Scheduler();

  /// Takes over the guarantees of the client accounts.
  void setConfiguration(const FleetConfiguration &Configuration);

  /// Adds a job. Does nothing if it is known.
  /// \param MayHaveRuns an earlier leader may have started tasks of it, so
  ///        nothing of it is started before settle().
  void addJob(BatchJob Job, JobProgress Progress, bool MayHaveRuns,
              absl::Time Now);
  void cancelJob(const JobId &Id, absl::Time Now);
  bool knowsJob(const JobId &Id) const;

  /// Every worker that may hold runs of an earlier leader has reported or has
  /// been lost. Stops gangs of which only a part was found.
  void settle();

  /// Adds a worker or takes over what its registration says.
  void updateWorker(const WorkerEntry &Entry);
  /// \param IsUsable orders may be sent to it.
  void setUsable(const WorkerId &Worker, bool IsUsable);
  /// No run is left on the worker: its lease has expired.
  void loseRuns(const WorkerId &Worker);
  /// The worker has started anew, and its list of ends with it. Which runs are
  /// left is told by its next report.
  void workerRestarted(const WorkerId &Worker);
  /// Forgets a worker that holds no runs.
  void removeWorker(const WorkerId &Worker);
  /// Runs that the worker may hold.
  size_t runsOn(const WorkerId &Worker) const;

  /// The order is still meant: its run has neither been confirmed nor is to be
  /// stopped.
  bool isStartWanted(const StartOrder &Order) const;
  void startAnswered(const StartOrder &Order, OrderAnswer Answer,
                     absl::Time Now);
  /// \param IsAnswered the worker has carried out the stop.
  void stopAnswered(const StopOrder &Order, bool IsAnswered, absl::Time Now);
  /// \param AskedAt when the report was asked for.
  void reportReceived(const WorkerId &Worker, const WorkerReport &Report,
                      absl::Time AskedAt, absl::Time Now);
  /// Highest sequence number of the ends taken in from this incarnation.
  int64_t lastEnd(const WorkerId &Worker) const;

  /// Places what can be placed and returns the orders to send now.
  Orders plan(absl::Time Now);
  /// True if tasks wait for a due time, for room or for an answer, so that
  /// plan() has to be called again.
  bool hasWaitingWork() const;

  /// Progress that has changed, at most \p Max records. Each is returned once;
  /// changeFailed() returns it to the list.
  std::vector<ProgressChange> takeChanges(size_t Max);
  bool hasChanges() const;
  void changeFailed(const JobId &Job);
  void changeWritten(const ProgressChange &Change);

  /// Jobs without a schedule that have not started, by queue.
  std::map<std::string, int64_t> waitingByQueue() const;
  size_t jobCount() const;

  class Impl;

private:
  std::unique_ptr<Impl> Implementation;
};

} // namespace vanillayard

#endif
