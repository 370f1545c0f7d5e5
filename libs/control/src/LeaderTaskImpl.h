#ifndef VANILLAYARD_CONTROL_LEADERTASKIMPL_H
#define VANILLAYARD_CONTROL_LEADERTASKIMPL_H

#include "JobRecordIndex.h"
#include "LeaderLoader.h"
#include "ProgressWriter.h"
#include "WorkerDriver.h"
#include "control/EvacuationWatcher.h"
#include "control/LeaderTask.h"
#include "scheduler/Scheduler.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <deque>
#include <map>
#include <set>
#include <utility>

namespace vanillayard {

/// One term as leader: from gaining the role to losing it.
class LeaderTask::Term final : public WorkerDriver::Owner,
                               public ProgressWriter::Owner,
                               public std::enable_shared_from_this<Term> {
public:
  struct Ports {
    Executor &Exec;
    CoordinationStore &Store;
    WorkerGateway &Gateway;
    WorkerDirectory &Directory;
    LeaderRole &Role;
    Log &Events;
    Metrics &MetricRegistry;
  };

  Term(const Ports &Links, const LeaderOptions &Options, int64_t Fence);
  ~Term() override;

  void begin();
  void end();
  void configurationChanged(const QueueTable &Newer);
  void leaderKeyRewritten(int64_t Revision);
  bool isServing() const { return this->IsServing; }
  size_t jobCount() const { return this->JobScheduler.jobCount(); }
  size_t workerCount() const { return this->Drivers.size(); }
  std::map<std::string, int64_t> waitingJobsByQueue() const {
    return this->JobScheduler.waitingJobsByQueue();
  }

  std::map<WaitReason, int64_t> waitingTasksByReason() const {
    return this->JobScheduler.waitingTasksByReason();
  }
  EvacuationUse evacuationUse() const {
    return this->JobScheduler.evacuationUse();
  }
  std::vector<RunTimeModel::QueueError> runTimeErrors() const {
    return this->JobScheduler.runTimeErrors();
  }
  size_t slowWorkerCount() const {
    return this->JobScheduler.slowWorkerCount();
  }

  // WorkerDriver::Owner
  absl::Duration maxWorkerLease() const override;
  bool mayStart(const StartOrder &Order) const override;
  int64_t fence() const override { return this->Fence; }
  bool hasRuns(const WorkerId &Worker) const override;
  void reported(const WorkerId &Worker, const WorkerReport &Report,
                absl::Time AskedAt) override;
  void runsLost(const WorkerId &Worker) override;
  void restarted(const WorkerId &Worker) override;
  void usabilityChanged(const WorkerId &Worker) override;
  void startAnswered(const StartOrder &Order, OrderAnswer Answer,
                     absl::Time HeldUntil) override;
  void stopAnswered(const StopOrder &Order, bool IsAnswered) override;
  void fenced() override;

  // ProgressWriter::Owner
  RunEndCursors processedEnds() const override;
  void endsRecorded(const RunEndCursors &Ends) override;
  void leaderKeyMissing() override;
  void recordsDiffer() override;
  void progressWritten(const ProgressChange &Change) override;
  void transactionWritten() override;

private:
  // LeaderTaskWorkers.cpp: workers and their registrations.
  void pollWorkers();
  void applyRegistrations(const std::vector<WorkerRegistration> &Registrations);
  void excludeRestarts(absl::Time ReadAt);
  void recordWorkers();
  void recordWorkersSoon();
  void addDriver(const WorkerRegistration &Registration);
  void refreshUsable(const WorkerId &Worker);
  void settleIfAllRunsKnown();
  absl::Time earlierLeasesEnd() const;
  void dropExpiredUnreported();
  void dropGoneWorkers();

  // LeaderTaskImpl.cpp: jobs, planning and job records.
  void applyRecords(LoadedRecords Records);
  void applyJobItem(const StoreItem &Item);
  void applyJobDeletion(const StoreItem &Item);
  void watchJobs(int64_t Revision);
  void relistJobs();
  void runPeriodicChecks();
  void publishWaiting();
  void readRunTimes();
  void writeRunTimes();
  void removeExpiredJobs();
  void requestPlan();
  bool mayGiveOrders() const;
  bool areEvacuationsKnown() const;
  void watchEvacuations();
  void stepDownSoon();
  void plan();
  void sendOrders(const Orders &Round);
  absl::Time now() const { return this->Links.Exec.now(); }

  Ports Links;
  LeaderOptions Options;
  int64_t Fence;
  absl::Time BeganAt;
  Scheduler JobScheduler;
  std::shared_ptr<ProgressWriter> Writer;
  std::shared_ptr<LeaderLoader> Loader;
  /// Null if the deployment has no evacuations.
  std::unique_ptr<EvacuationWatcher> Evacuations;
  std::map<WorkerId, std::shared_ptr<WorkerDriver>> Drivers;
  /// Workers that are registered, by the latest read of the registrations.
  absl::flat_hash_set<WorkerId> RegisteredWorkers;
  /// Since when the registrations have been read at each interval;
  /// InfiniteFuture if the latest read failed.
  absl::Time RegistrationsReadSince = absl::InfiniteFuture();
  /// Workers known to be in the store's record of workers that may have runs.
  std::set<WorkerId> RecordedWorkers;
  /// Content of that record as last passed to the writer.
  std::set<WorkerId> RequestedWorkers;
  /// Workers recorded by earlier leaders that have not reported to this leader
  /// and whose last lease may not have expired.
  std::set<WorkerId> UnreportedWorkers;
  JobRecordIndex JobRecords;
  /// Finished jobs, ordered by the time from which they may be deleted.
  std::deque<std::pair<absl::Time, JobId>> Finished;
  std::map<std::string, int64_t> PublishedWaiting;
  bool IsWaitingPublishing = false;
  /// Content of the record of run times as last written.
  std::string WrittenRunTimes;
  bool AreRunTimesBeingWritten = false;
  bool IsServing = false;
  /// The job records have been read since the role was last confirmed after a
  /// break.
  bool AreJobsCurrent = true;
  /// Incremented when the watch of the job records begins anew; answers to
  /// earlier ones are ignored.
  int JobWatch = 0;
  bool IsWorkersRecordDue = false;
  bool IsPlanRequested = false;
  bool HasSettled = false;
  bool IsEnded = false;
};

} // namespace vanillayard

#endif
