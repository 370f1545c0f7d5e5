#ifndef VANILLAYARD_CONTROL_LEADERTASKIMPL_H
#define VANILLAYARD_CONTROL_LEADERTASKIMPL_H

#include "LeaderLoader.h"
#include "ProgressWriter.h"
#include "WorkerDriver.h"
#include "control/LeaderTask.h"
#include "scheduler/Scheduler.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <deque>
#include <map>
#include <set>
#include <utility>

namespace vanillayard {

/// One term of office of the leader.
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
    Metrics &Figures;
  };

  Term(const Ports &Links, const LeaderTerms &Terms, int64_t Fence);
  ~Term() override;

  void begin();
  void end();
  void configurationChanged(const QueueTable &Newer);
  bool isServing() const { return this->IsServing; }
  size_t jobCount() const { return this->Plan.jobCount(); }
  size_t workerCount() const { return this->Drivers.size(); }
  std::map<std::string, int64_t> waitingByQueue() const {
    return this->Plan.waitingByQueue();
  }

  // WorkerDriver::Owner
  absl::Duration leaseAllowance() const override;
  bool mayStart(const StartOrder &Order) const override;
  int64_t fence() const override { return this->Fence; }
  bool hasRuns(const WorkerId &Worker) const override;
  void reported(const WorkerId &Worker, const WorkerReport &Report,
                absl::Time AskedAt) override;
  void runsLost(const WorkerId &Worker) override;
  void restarted(const WorkerId &Worker) override;
  void usabilityChanged(const WorkerId &Worker) override;
  void startAnswered(const StartOrder &Order, OrderAnswer Answer) override;
  void stopAnswered(const StopOrder &Order, bool IsAnswered) override;
  void fenced() override;

  // ProgressWriter::Owner
  EndMarks endsTaken() const override;
  void endsRecorded(const EndMarks &Ends) override;
  void superseded() override;
  void written(const ProgressChange &Change) override;

private:
  // LeaderTaskWorkers.cpp: the workers that are driven.
  void pollWorkers();
  void takeWorkers(const std::vector<WorkerEntry> &Entries);
  void recordWorkers();
  void addDriver(const WorkerEntry &Entry);
  void refreshUsable(const WorkerId &Worker);
  void settleIfKnown();
  absl::Time earlierLeasesEnd() const;
  void dropExpiredUnknown();
  void dropGoneWorkers();

  // LeaderTaskImpl.cpp: jobs, planning and records.
  void take(LoadedRecords Records);
  void takeJobItem(const StoreItem &Item);
  void watchJobs(int64_t Revision);
  void relistJobs();
  void housekeep();
  void publishWaiting();
  void removeExpiredJobs();
  void requestPlan();
  void plan();
  absl::Time now() const { return this->Links.Exec.now(); }

  Ports Links;
  LeaderTerms Terms;
  int64_t Fence;
  absl::Time BeganAt;
  Scheduler Plan;
  std::shared_ptr<ProgressWriter> Writer;
  std::shared_ptr<LeaderLoader> Loader;
  std::map<WorkerId, std::shared_ptr<WorkerDriver>> Drivers;
  /// Workers that are registered, by the newest reading.
  absl::flat_hash_set<WorkerId> Registered;
  /// Workers in the record of those that may hold runs, and the set that was
  /// last asked to be recorded.
  std::set<WorkerId> Recorded;
  std::set<WorkerId> RecordRequested;
  /// Recorded workers that have neither reported nor lost their lease.
  std::set<WorkerId> Unknown;
  /// All jobs that were ever added, finished ones too.
  absl::flat_hash_set<JobId> KnownJobs;
  /// Finished jobs and when they may be deleted, in this order.
  std::deque<std::pair<absl::Time, JobId>> Finished;
  std::map<std::string, int64_t> PublishedWaiting;
  bool IsWaitingPublishing = false;
  bool IsServing = false;
  bool IsPlanRequested = false;
  bool HasSettled = false;
  bool IsEnded = false;
};

} // namespace vanillayard

#endif
