#ifndef VANILLAYARD_JOBS_PLANNERIMPL_H
#define VANILLAYARD_JOBS_PLANNERIMPL_H

#include "Fleet.h"
#include "GangStopper.h"
#include "JobQueue.h"
#include "PlannedJob.h"
#include "jobs/JobStore.h"
#include "jobs/PlannerTask.h"
#include "placement/ReservationBackfill.h"
#include "placement/RunTimeCorrection.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/node_hash_map.h"

#include <deque>
#include <map>
#include <random>
#include <utility>

namespace vanillayard {

/// State and steps of the planner. The steps are grouped in files: records,
/// schedule, gang, renewal, reclaim and outcome.
class PlannerTask::Impl {
public:
  explicit Impl(const Builder &Options);
  ~Impl();

  void setPlanner(bool Value);
  void setConfiguration(std::shared_ptr<const Configuration> Value);
  void setWorkers(const std::vector<PlannerWorker> &List);
  void setDataCentreLost(const DataCentreId &Dc, bool Lost);
  void onJobChange(const JobChange &Notice);

  PlannerReport report() const;

  bool Active = false;
  /// Jobs that have not ended, by id.
  std::map<JobId, std::unique_ptr<PlannedJob>> Jobs;

private:
  // Activation and records.
  void activate();
  void deactivate();
  void onStatusAtStart(const absl::StatusOr<WorkerStatus> &Status);
  void finishStart();
  void noteEpochs(const WorkerStatus &Status);
  void adoptUnrecorded();
  void adoptGroup(const std::vector<std::pair<LeaseReport, WorkerId>> &Group);
  void list();
  void onListed(absl::StatusOr<std::vector<StoredJob>> Listed);
  void absorb(const StoredJob &Found);
  void absorbKnown(PlannedJob &Job, const StoredJob &Found);
  void addQueued(const StoredJob &Found);
  void adoptPlaced(const StoredJob &Found);
  void takeOver(const StoredJob &Found);
  void processNotices();
  void processNotice(const JobChange &Notice);
  void sweep();
  void onSwept(const PlannerWorker &Worker, const WorkerStatus &Status);
  void noteStore(bool Answers);
  void holdAllAgain();

  void tell(std::string_view Name, const PlannedJob &Job);

  // Schedule.
  void markDirty();
  void schedule();
  bool isReady(PlannedJob &Job);
  bool exceedsQuota(const PlannedJob &Job);
  bool tryStart(PlannedJob &Job, const AdmissionDecision &Decision);
  void updateHolders();
  absl::Duration expectedRunTime(const PlannedJob &Job) const;
  double costOf(const PlannedJob &Job) const;
  void enqueue(PlannedJob &Job);
  void backOff(PlannedJob &Job);

  // Reclaim.
  void reclaimFor(PlannedJob &Job, const std::vector<int> &Victims);
  void reclaim(PlannedJob &Victim);
  void checkReclaims();
  void checkVictims(PlannedJob &Job);
  void requestCheckpoint(PlannedJob &Victim);
  bool isFullyCheckpointed(const PlannedJob &Job) const;

  // Gang.
  void setMembers(PlannedJob &Job, const GangPlacement &Places);
  void beginAcquire(PlannedJob &Job);
  void acquireNext(PlannedJob &Job, size_t Index);
  void onAcquired(PlannedJob &Job, size_t Index,
                  const absl::StatusOr<LeaseReport> &Report);
  void giveUpAcquire(PlannedJob &Job);
  void writePlacement(PlannedJob &Job);
  void onPlacementWritten(PlannedJob &Job, absl::StatusOr<JobUpdate> Result);
  void startMembers(PlannedJob &Job);
  void startMember(PlannedJob &Job, size_t Index);
  void evaluate(PlannedJob &Job);
  void releaseLeases(const PlannedJob &Job);

  // Renewal.
  void renewAll();
  void renewWorker(const WorkerId &Worker, std::vector<LeaseId> Leases,
                   std::vector<std::pair<JobId, size_t>> Owners);
  void onRenewed(const std::vector<std::pair<JobId, size_t>> &Owners,
                 absl::Time Sent, const absl::StatusOr<RenewResult> &Result);
  void applyReport(PlannedJob &Job, GangMember &Member, absl::Time Sent,
                   const LeaseReport *Report);
  void applyNoAnswer(PlannedJob &Job, GangMember &Member,
                     const absl::Status &Error);
  void checkLoss(PlannedJob &Job);

  // Outcome.
  void beginStop(PlannedJob &Job);
  void checkStop(PlannedJob &Job);
  void concludeStop(PlannedJob &Job);
  void readRecord(PlannedJob &Job);
  void writeUnresolved(PlannedJob &Job);
  void finishWithResults(PlannedJob &Job, std::vector<std::string> Results);
  void recordOutcome(PlannedJob &Job, JobState State, std::string Detail,
                     bool MayHaveRun);
  void writeOutcome(PlannedJob &Job);
  void onOutcomeWritten(PlannedJob &Job, absl::StatusOr<JobUpdate> Result);
  void requeue(PlannedJob &Job);
  void drop(PlannedJob &Job);
  void abandon(PlannedJob &Job);
  void remove(PlannedJob &Job);

  /// Wraps an answer so that it reaches the job only if the job is still in
  /// the phase in which the call was made.
  template <typename Work> auto onJob(const PlannedJob &Job, Work Then) {
    return [this, Weak = std::weak_ptr<bool>(this->Alive), Id = Job.Record.Id,
            Serial = Job.Serial, Then](auto &&Answer) {
      if (!Weak.lock())
        return;
      auto Found = this->Jobs.find(Id);
      if (Found != this->Jobs.end() && Found->second->Serial == Serial)
        Then(*Found->second, std::forward<decltype(Answer)>(Answer));
    };
  }
  /// Wraps work so that it is done only while this activation lasts.
  template <typename Work> auto whileActive(Work Then) {
    return
        [Weak = std::weak_ptr<bool>(this->Alive), Then](auto &&...Arguments) {
          if (Weak.lock())
            Then(std::forward<decltype(Arguments)>(Arguments)...);
        };
  }
  void every(absl::Duration Interval, std::function<void()> Work);
  void enter(PlannedJob &Job, JobPhase Next) {
    Job.Phase = Next;
    // Not used again, also not by a later job with the same id.
    Job.Serial = ++this->Serials;
  }
  absl::Duration renewTtl() const {
    return this->Options.LeaseTtl - this->Options.RenewInterval;
  }
  absl::Time now() const { return this->Options.Exec->now(); }
  WorkerClient &workers() { return *this->Options.Workers; }

  static constexpr absl::Duration TickInterval = absl::Seconds(1);
  static constexpr absl::Duration StoreRetry = absl::Seconds(2);
  static constexpr absl::Duration ReclaimPoll = absl::Milliseconds(500);
  /// Most jobs tried in one pass, so that a long queue does not hold up other
  /// work of the host.
  static constexpr size_t MaxTriesPerPass = 256;
  static constexpr size_t MaxNoticesPerBatch = 256;
  /// Run time assumed for a job that declares none.
  static constexpr absl::Duration DefaultRunTime = absl::Hours(1);
  /// How long a worker must be off the list before its members that may have
  /// run are recorded as unknown.
  static constexpr absl::Duration ResolveLimit = absl::Hours(1);

  const Builder Options;
  JobStore Records;
  Fleet Workers;
  JobQueue Queue;
  ReservationBackfill Backfill{absl::Minutes(30)};
  RunTimeCorrection Correction;
  std::mt19937_64 Random;
  Epoch Current;
  int64_t HighestTerm = 0;
  uint64_t Serials = 1;
  /// Valid while this activation lasts.
  std::shared_ptr<bool> Alive;

  bool Started = false;
  size_t StatusesOpen = 0;
  bool ListOpen = false;
  bool Dirty = false;
  bool StoreAnswers = true;
  std::vector<StoredJob> ListedAtStart;
  std::vector<std::pair<LeaseReport, WorkerId>> FoundAtStart;
  std::deque<JobChange> Notices;
  bool NoticesPosted = false;
  std::map<DataCentreId, absl::Time> LostSince;
  std::vector<absl::Time> Ends;
  std::map<WorkerId, absl::Time> RenewalOpen;
  /// Ended jobs by the last listing; their leases are released.
  absl::flat_hash_set<JobId> EndedJobs;
  bool ListIsFresh = false;
  /// Leases that belong to no known attempt, and when they were first seen.
  std::map<LeaseId, absl::Time> Orphans;
};

} // namespace vanillayard

#endif
