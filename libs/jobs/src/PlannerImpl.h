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

/// State and logic of the planner. PlannerTask.cpp has activation; the other
/// functions are grouped in PlannerRecords.cpp, PlannerSchedule.cpp,
/// PlannerGang.cpp, PlannerRenewal.cpp, PlannerReclaim.cpp and
/// PlannerOutcome.cpp.
class PlannerTask::Impl {
public:
  explicit Impl(const Builder &Options);
  ~Impl();

  void setActive(bool Value);
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
  void updateHighestTerm(const WorkerStatus &Status);
  void adoptUnrecordedGangs();
  void adoptGang(const std::vector<std::pair<LeaseReport, WorkerId>> &Group);
  void listRecords();
  void onListed(absl::StatusOr<std::vector<StoredJob>> Listed);
  void applyRecord(const StoredJob &Found);
  void applyRecordToJob(PlannedJob &Job, const StoredJob &Found);
  void addQueued(const StoredJob &Found);
  void adoptPlacedJob(const StoredJob &Found);
  void takeOverJob(const StoredJob &Found);
  void processNotices();
  void processNotice(const JobChange &Notice);
  void sweepOrphanedLeases();
  void onSweepStatus(const PlannerWorker &Worker, const WorkerStatus &Status);
  void setStoreAvailable(bool Value);
  void restoreHolders();

  void reportEvent(std::string_view Name, const PlannedJob &Job);

  // Schedule.
  void requestSchedulingPass();
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
  void acquireLeases(PlannedJob &Job);
  void acquireLease(PlannedJob &Job, size_t Index);
  void onAcquired(PlannedJob &Job, size_t Index,
                  const absl::StatusOr<LeaseReport> &Report);
  void abortAcquisition(PlannedJob &Job);
  void writePlacement(PlannedJob &Job);
  void onPlacementWritten(PlannedJob &Job, absl::StatusOr<JobUpdate> Result);
  void startMembers(PlannedJob &Job);
  void startMember(PlannedJob &Job, size_t Index);
  void evaluateGang(PlannedJob &Job);
  void releaseLeases(const PlannedJob &Job);

  // Renewal.
  void renewAll();
  void renewWorker(const WorkerId &Worker, std::vector<LeaseId> Leases,
                   std::vector<std::pair<JobId, size_t>> Owners);
  void onRenewed(const std::vector<std::pair<JobId, size_t>> &Owners,
                 absl::Time Sent, const absl::StatusOr<RenewResult> &Result);
  void applyLeaseReport(PlannedJob &Job, GangMember &Member, absl::Time Sent,
                        const LeaseReport *Report);
  void applyRenewalError(PlannedJob &Job, GangMember &Member,
                         const absl::Status &Error);
  void checkLeaseExpiry(PlannedJob &Job);

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
  void onSuperseded(PlannedJob &Job);
  void stopAndRemove(PlannedJob &Job);
  void removeJob(PlannedJob &Job);

  /// Wraps the callback of a call so that it runs only if the job is still in
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
  /// Wraps a callback so that it runs only while this activation lasts.
  template <typename Work> auto whileActive(Work Then) {
    return
        [Weak = std::weak_ptr<bool>(this->Alive), Then](auto &&...Arguments) {
          if (Weak.lock())
            Then(std::forward<decltype(Arguments)>(Arguments)...);
        };
  }
  void runEvery(absl::Duration Interval, std::function<void()> Work);
  void enterPhase(PlannedJob &Job, JobPhase Next) {
    Job.Phase = Next;
    // Serials are never reused, not even for a later job with the same id.
    Job.Serial = ++this->LastSerial;
  }
  absl::Duration renewTtl() const {
    return this->Options.LeaseTtl - this->Options.RenewInterval;
  }
  absl::Time now() const { return this->Options.Exec->now(); }
  WorkerClient &workerClient() { return *this->Options.Workers; }

  static constexpr absl::Duration SchedulingInterval = absl::Seconds(1);
  static constexpr absl::Duration StoreRetryInterval = absl::Seconds(2);
  static constexpr absl::Duration ReclaimPollInterval = absl::Milliseconds(500);
  /// Maximum number of jobs tried in one scheduling pass, so that a long queue
  /// does not delay other work of the host.
  static constexpr size_t MaxTriesPerPass = 256;
  static constexpr size_t MaxNoticesPerBatch = 256;
  /// Run time assumed for a job that declares none.
  static constexpr absl::Duration DefaultRunTime = absl::Hours(1);
  /// Time after the start of a stop at which the outcome of a member that may
  /// have run is recorded as unknown, if its worker is no longer listed.
  static constexpr absl::Duration ResolveTimeout = absl::Hours(1);

  const Builder Options;
  JobStore Records;
  Fleet Workers;
  JobQueue Queue;
  ReservationBackfill Backfill{absl::Minutes(30)};
  RunTimeCorrection Correction;
  std::mt19937_64 Random;
  Epoch CurrentEpoch;
  int64_t HighestTerm = 0;
  uint64_t LastSerial = 1;
  /// Valid while this activation lasts.
  std::shared_ptr<bool> Alive;

  bool Started = false;
  size_t PendingStatuses = 0;
  bool ListInProgress = false;
  bool SchedulingPassPending = false;
  bool StoreAvailable = true;
  std::vector<StoredJob> RecordsAtStart;
  std::vector<std::pair<LeaseReport, WorkerId>> LeasesAtStart;
  std::deque<JobChange> Notices;
  bool NoticesPosted = false;
  std::map<DataCentreId, absl::Time> LostSince;
  std::vector<absl::Time> ExpectedEnds;
  std::map<WorkerId, absl::Time> RenewalSentAt;
  /// Jobs that have ended, as of the last listing and the notifications since;
  /// their leases are released.
  absl::flat_hash_set<JobId> EndedJobs;
  bool LastListSucceeded = false;
  /// Leases that belong to no known gang, and when they were first seen.
  std::map<LeaseId, absl::Time> OrphanedLeases;
};

} // namespace vanillayard

#endif
