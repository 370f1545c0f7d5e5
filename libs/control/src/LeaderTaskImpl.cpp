#include "LeaderTaskImpl.h"

#include "base/ErrorKind.h"
#include "control/LeaderRole.h"
#include "control/RecordKeys.h"
#include "fleet/BatchJobCodec.h"
#include "fleet/JobProgressCodec.h"
#include "fleet/QueueTable.h"
#include "observe/Log.h"
#include "observe/Metrics.h"
#include "store/CoordinationStore.h"

#include <nlohmann/json.hpp>

namespace vanillayard {

/// Delay from the first event to the planning round that covers it and the
/// events that follow meanwhile.
static constexpr absl::Duration PlanDelay = absl::Milliseconds(4);
/// Interval of the periodic checks of leases and retention, and of planning
/// rounds while work waits for capacity, a due time or an answer.
static constexpr absl::Duration CheckInterval = absl::Milliseconds(100);
/// Maximum duration of one watch call for the job records. The leader notices a
/// dead connection only after this time.
static constexpr absl::Duration WatchTime = absl::Milliseconds(2000);
/// Delay before a failed call to the store is retried.
static constexpr absl::Duration RetryDelay = absl::Milliseconds(200);
/// A leader numbers its runs from its fencing token times this number, so that
/// run numbers of different leaders differ. It must exceed the number of runs
/// that a leader starts in its term.
static constexpr int64_t RunsPerTerm = int64_t(1) << 20;
/// Additional time, beyond the promised retention, for which the records of
/// finished jobs are kept.
static constexpr absl::Duration RetentionSlack = absl::Seconds(30);
/// Maximum number of finished jobs deleted per periodic check.
static constexpr size_t MaxRemovalsPerCheck = 4;
/// Interval at which the numbers of waiting jobs are published.
static constexpr absl::Duration WaitingInterval = absl::Seconds(1);
/// Interval at which what was learned of run times is recorded. A successor
/// learns the rest again within seconds, so seldom is enough.
static constexpr absl::Duration RunTimesInterval = absl::Seconds(15);

LeaderTask::Term::Term(const Ports &Links, const LeaderOptions &Options,
                       int64_t Fence)
    : Links(Links), Options(Options), Fence(Fence), BeganAt(Links.Exec.now()),
      JobScheduler(Options.Scheduling, Fence * RunsPerTerm, Links.Events) {}

LeaderTask::Term::~Term() = default;

void LeaderTask::Term::begin() {
  this->Writer = std::make_shared<ProgressWriter>(
      this->Links.Exec, this->Links.Store, this->JobScheduler, *this,
      this->Fence, this->Links.Events);
  this->Loader =
      std::make_shared<LeaderLoader>(this->Links.Exec, this->Links.Store,
                                     this->Links.Directory, this->Links.Events);
  this->Loader->start([Weak = this->weak_from_this()](LoadedRecords Records) {
    std::shared_ptr<Term> Self = Weak.lock();
    if (Self && !Self->IsEnded)
      Self->applyRecords(std::move(Records));
  });
  this->watchEvacuations();
}

void LeaderTask::Term::watchEvacuations() {
  if (this->Options.EvacuationPrefix.empty())
    return;
  this->Evacuations = std::make_unique<EvacuationWatcher>(
      this->Links.Exec, this->Links.Store, this->Links.Events,
      this->Options.EvacuationPrefix);
  this->Evacuations->start(
      [this](const EvacuationWatcher::DataCentres &Evacuated) {
        this->JobScheduler.setEvacuated(Evacuated);
        this->requestPlan();
      });
}

void LeaderTask::Term::end() {
  this->IsEnded = true;
  this->IsServing = false;
  this->Loader.reset();
  this->Evacuations.reset();
  if (this->Writer)
    this->Writer->close();
  for (auto &[Id, Driver] : this->Drivers)
    Driver->close();
}

void LeaderTask::Term::configurationChanged(const QueueTable &Newer) {
  this->JobScheduler.setConfiguration(Newer.configuration());
  this->requestPlan();
}

void LeaderTask::Term::applyRecords(LoadedRecords Records) {
  size_t Unfinished = 0;
  for (LoadedRecords::LoadedJob &Loaded : Records.Jobs) {
    JobId Id = Loaded.Job.Id;
    this->JobRecords.add(Id, Loaded.JobRevision);
    this->Writer->noteRevision(RecordKeys::progress(Id),
                               Loaded.ProgressRevision);
    if (isFinal(Loaded.Progress.State)) {
      this->Finished.emplace_back(
          this->now() + this->Options.Retention + RetentionSlack, Id);
      continue;
    }
    ++Unfinished;
    bool MayHaveOtherRuns =
        !this->Links.Role.hasPredecessorRecordedPlacements() ||
        !Loaded.Progress.ArePlacementsRecorded;
    this->JobScheduler.addJob(std::move(Loaded.Job), std::move(Loaded.Progress),
                              MayHaveOtherRuns, this->now());
  }
  for (const JobRemoval &Remains : Records.DeletedInPart) {
    this->JobRecords.add(Remains.Id, Remains.JobRevision);
    this->Writer->removeJob(Remains);
  }
  for (const JobId &Id : Records.Cancelled)
    this->JobScheduler.cancelJob(Id, this->now());
  this->Writer->noteRevision(std::string(RecordKeys::Workers),
                             Records.WorkersRevision);
  this->RecordedWorkers.insert(Records.RecordedWorkers.begin(),
                               Records.RecordedWorkers.end());
  this->RequestedWorkers = this->RecordedWorkers;
  this->UnreportedWorkers = this->RecordedWorkers;
  for (const WorkerId &Id : this->JobScheduler.workersWithRuns())
    this->UnreportedWorkers.insert(Id);
  this->Links.Events.info("leader", "records are loaded",
                          {{"fence", this->Fence},
                           {"jobs", Records.Jobs.size()},
                           {"unfinished", Unfinished},
                           {"recorded_workers", this->RecordedWorkers.size()},
                           {"registered_workers", Records.Workers.size()}});
  this->IsServing = true;
  this->watchJobs(Records.JobRevision);
  this->applyRegistrations(Records.Workers);
  this->settleIfAllRunsKnown();
  this->pollWorkers();
  this->runPeriodicChecks();
  this->publishWaiting();
  this->readRunTimes();
  this->Writer->requestWrite();
}

/// Not knowing the record delays nothing: until it is read, estimates are used.
void LeaderTask::Term::readRunTimes() {
  if (!this->Options.Scheduling.LearnsRunTimes)
    return;
  this->Links.Store.get(
      std::string(RecordKeys::RunTimes),
      [Weak = this->weak_from_this()](
          absl::StatusOr<std::optional<StoreItem>> Result) {
        std::shared_ptr<Term> Self = Weak.lock();
        if (!Self || Self->IsEnded)
          return;
        absl::Status Status = Result.status();
        if (Result.ok() && Result->has_value())
          Status =
              Self->JobScheduler.restoreRunTimes((*Result)->Value, Self->now());
        if (!Status.ok())
          Self->Links.Events.warning(
              "leader", "learned run times could not be read, beginning anew",
              {{"error", Status}});
        Self->writeRunTimes();
      });
}

void LeaderTask::Term::writeRunTimes() {
  this->Links.Exec.runAfter(RunTimesInterval, [Weak = this->weak_from_this()] {
    std::shared_ptr<Term> Self = Weak.lock();
    if (!Self || Self->IsEnded)
      return;
    std::string Record = Self->JobScheduler.encodeRunTimes();
    if (!Self->AreRunTimesBeingWritten && Self->mayGiveOrders() &&
        Record != Self->WrittenRunTimes) {
      Self->AreRunTimesBeingWritten = true;
      Self->Writer->putRecord(std::string(RecordKeys::RunTimes), Record,
                              [Self = Self.get(), Record] {
                                Self->AreRunTimesBeingWritten = false;
                                Self->WrittenRunTimes = Record;
                              });
    }
    Self->writeRunTimes();
  });
}

void LeaderTask::Term::applyJobItem(const StoreItem &Item) {
  std::optional<RecordKeys::JobKey> Key = RecordKeys::parseJobKey(Item.Key);
  if (!Key)
    return;
  if (Key->IsCancel) {
    this->JobScheduler.cancelJob(Key->Id, this->now());
    return;
  }
  if (!this->JobRecords.add(Key->Id, Item.Revision))
    return;
  absl::StatusOr<BatchJob> Job = decodeBatchJob(Item.Value);
  if (!Job.ok()) {
    this->Links.Events.error(
        "leader", "job record could not be decoded, skipping the job",
        {{"key", Item.Key}, {"error", Job.status()}});
    return;
  }
  // The same transaction created the progress record, so it has the same
  // revision.
  this->Writer->noteRevision(RecordKeys::progress(Key->Id), Item.Revision);
  JobProgress Progress(*Job);
  this->JobScheduler.addJob(*std::move(Job), std::move(Progress), false,
                            this->now());
}

void LeaderTask::Term::applyJobDeletion(const StoreItem &Item) {
  std::optional<RecordKeys::JobKey> Key = RecordKeys::parseJobKey(Item.Key);
  if (!Key || Key->IsCancel)
    return;
  this->JobRecords.forget(Key->Id, Item.Revision);
  this->Writer->forgetRevision(RecordKeys::progress(Key->Id), Item.Revision);
}

void LeaderTask::Term::watchJobs(int64_t Revision) {
  this->Links.Store.awaitChanges(
      std::string(RecordKeys::JobPrefix), Revision, WatchTime,
      [Weak = this->weak_from_this(), Revision,
       Watch = this->JobWatch](absl::StatusOr<StoreChanges> Result) {
        std::shared_ptr<Term> Self = Weak.lock();
        if (!Self || Self->IsEnded || Self->JobWatch != Watch)
          return;
        if (!Result.ok()) {
          Self->Links.Exec.runAfter(RetryDelay, [Weak, Revision, Watch] {
            std::shared_ptr<Term> Again = Weak.lock();
            if (Again && !Again->IsEnded && Again->JobWatch == Watch)
              Again->watchJobs(Revision);
          });
          return;
        }
        if (Result->IsHistoryLost)
          return Self->relistJobs();
        for (const StoreChange &Change : Result->Changes) {
          if (Change.IsDeleted)
            Self->applyJobDeletion(Change.Item);
          else
            Self->applyJobItem(Change.Item);
        }
        if (!Result->Changes.empty())
          Self->requestPlan();
        Self->watchJobs(Result->Revision);
      });
}

/// Lists all job records again, and watches them from there: after the store
/// has discarded changes that the watch had not delivered yet, or after an
/// outage.
void LeaderTask::Term::relistJobs() {
  this->Links.Store.list(
      std::string(RecordKeys::JobPrefix),
      [Weak = this->weak_from_this(),
       Watch = this->JobWatch](absl::StatusOr<StoreListing> Result) {
        std::shared_ptr<Term> Self = Weak.lock();
        if (!Self || Self->IsEnded || Self->JobWatch != Watch)
          return;
        if (!Result.ok()) {
          Self->Links.Exec.runAfter(RetryDelay, [Weak, Watch] {
            std::shared_ptr<Term> Again = Weak.lock();
            if (Again && !Again->IsEnded && Again->JobWatch == Watch)
              Again->relistJobs();
          });
          return;
        }
        Self->AreJobsCurrent = true;
        for (const StoreItem &Item : Result->Items)
          Self->applyJobItem(Item);
        Self->requestPlan();
        Self->watchJobs(Result->Revision);
      });
}

absl::Duration LeaderTask::Term::maxWorkerLease() const {
  return this->Links.Role.maxWorkerLease(this->Options.WorkerLease);
}

bool LeaderTask::Term::mayStart(const StartOrder &Order) const {
  return this->mayGiveOrders() && this->areEvacuationsKnown() &&
         this->JobScheduler.isStartPending(Order) &&
         !this->JobScheduler.isEvacuated(Order.Worker);
}

/// While the role is unconfirmed, another leader may start the same tasks;
/// while the jobs are not current, a task's job may have been cancelled.
bool LeaderTask::Term::mayGiveOrders() const {
  return this->Links.Role.isConfirmed() && this->AreJobsCurrent;
}

/// The reads of the evacuations are recent enough to start tasks.
bool LeaderTask::Term::areEvacuationsKnown() const {
  return !this->Evacuations || this->now() - this->Evacuations->confirmedAt() <
                                   this->Options.EvacuationBound;
}

bool LeaderTask::Term::hasRuns(const WorkerId &Worker) const {
  return this->JobScheduler.hasStartedRuns(Worker);
}

void LeaderTask::Term::startAnswered(const StartOrder &Order,
                                     OrderAnswer Answer, absl::Time HeldUntil) {
  this->JobScheduler.startAnswered(Order, Answer, this->now(), HeldUntil);
  if (this->JobScheduler.hasChanges())
    this->Writer->requestWrite();
  if (Answer != OrderAnswer::Accepted)
    this->requestPlan();
}

void LeaderTask::Term::stopAnswered(const StopOrder &Order, bool IsAnswered) {
  this->JobScheduler.stopAnswered(Order, IsAnswered, this->now());
  if (!IsAnswered)
    this->requestPlan();
}

void LeaderTask::Term::fenced() {
  this->stepDownSoon();
}

/// The next leader, which may be this host again, reads all records anew.
void LeaderTask::Term::recordsDiffer() {
  this->AreJobsCurrent = false;
  this->stepDownSoon();
}

/// Gives the role up once the callers of this object have returned.
void LeaderTask::Term::stepDownSoon() {
  if (this->IsEnded)
    return;
  this->Links.Exec.post([Weak = this->weak_from_this()] {
    std::shared_ptr<Term> Self = Weak.lock();
    if (Self && !Self->IsEnded)
      Self->Links.Role.stepDown();
  });
}

void LeaderTask::Term::leaderKeyMissing() {
  this->Links.Exec.post([Weak = this->weak_from_this()] {
    std::shared_ptr<Term> Self = Weak.lock();
    if (Self && !Self->IsEnded)
      Self->Links.Role.verify();
  });
}

void LeaderTask::Term::leaderKeyRewritten(int64_t Revision) {
  this->Writer->setLeaderKeyRevision(Revision);
  // Jobs may have been cancelled since the last answer to the watch, so nothing
  // is started before they are listed again.
  if (this->IsServing) {
    this->AreJobsCurrent = false;
    ++this->JobWatch;
    this->relistJobs();
  }
}

RunEndCursors LeaderTask::Term::processedEnds() const {
  RunEndCursors Ends;
  for (const auto &[Id, Driver] : this->Drivers)
    if (int64_t Last = this->JobScheduler.lastEndSequence(Id); Last > 0)
      Ends[Id] = {Driver->registration().Incarnation, Last};
  return Ends;
}

void LeaderTask::Term::endsRecorded(const RunEndCursors &Ends) {
  for (const auto &[Id, Cursor] : Ends) {
    auto Found = this->Drivers.find(Id);
    if (Found != this->Drivers.end())
      Found->second->acknowledge(Cursor);
  }
}

void LeaderTask::Term::progressWritten(const ProgressChange &Change) {
  if (!Change.IsFinal)
    return;
  this->Links.MetricRegistry
      .counter("vanillayard_jobs_ended_total",
               "jobs whose end was recorded, by queue and state",
               {{"queue", Change.Queue},
                {"state", std::string(BatchStateNames.nameOf(Change.State))}})
      .add();
  this->Finished.emplace_back(
      this->now() + this->Options.Retention + RetentionSlack, Change.Job);
}

void LeaderTask::Term::transactionWritten() {
  if (this->mayGiveOrders() && this->areEvacuationsKnown())
    this->sendOrders(this->JobScheduler.startRecorded(this->now()));
}

void LeaderTask::Term::publishWaiting() {
  if (this->IsEnded)
    return;
  std::map<std::string, int64_t> Waiting =
      this->JobScheduler.waitingJobsByQueue();
  if (Waiting != this->PublishedWaiting && !this->IsWaitingPublishing) {
    this->IsWaitingPublishing = true;
    this->Writer->putRecord(std::string(RecordKeys::Waiting),
                            nlohmann::json(Waiting).dump(), [this, Waiting] {
                              this->IsWaitingPublishing = false;
                              this->PublishedWaiting = Waiting;
                            });
  }
  this->Links.Exec.runAfter(WaitingInterval, [Weak = this->weak_from_this()] {
    if (std::shared_ptr<Term> Self = Weak.lock())
      Self->publishWaiting();
  });
}

void LeaderTask::Term::removeExpiredJobs() {
  for (size_t I = 0; I < MaxRemovalsPerCheck && !this->Finished.empty() &&
                     this->Finished.front().first <= this->now();
       ++I) {
    JobId Id = std::move(this->Finished.front().second);
    this->Finished.pop_front();
    if (std::optional<int64_t> Revision = this->JobRecords.revision(Id))
      this->Writer->removeJob({Id, *Revision});
  }
}

/// Checks for expired leases, workers that have left and records past their
/// retention, and plans work that waits.
void LeaderTask::Term::runPeriodicChecks() {
  if (this->IsEnded)
    return;
  for (const auto &[Id, Driver] : this->Drivers) {
    Driver->checkLease();
    Driver->renewIfNeeded();
  }
  this->dropExpiredUnreported();
  this->dropGoneWorkers();
  this->removeExpiredJobs();
  if (this->JobScheduler.hasWaitingWork())
    this->plan();
  this->Links.Exec.runAfter(CheckInterval, [Weak = this->weak_from_this()] {
    if (std::shared_ptr<Term> Self = Weak.lock())
      Self->runPeriodicChecks();
  });
}

void LeaderTask::Term::requestPlan() {
  if (this->IsPlanRequested || !this->IsServing)
    return;
  this->IsPlanRequested = true;
  this->Links.Exec.runAfter(PlanDelay, [Weak = this->weak_from_this()] {
    std::shared_ptr<Term> Self = Weak.lock();
    if (!Self || Self->IsEnded)
      return;
    Self->IsPlanRequested = false;
    Self->plan();
  });
}

void LeaderTask::Term::plan() {
  if (!this->mayGiveOrders() || !this->areEvacuationsKnown())
    return;
  this->sendOrders(this->JobScheduler.plan(this->now()));
  if (this->JobScheduler.hasUnrecordedUrgentPlacements())
    this->Writer->requestPromptWrite();
  else if (this->JobScheduler.hasChanges())
    this->Writer->requestWrite();
}

void LeaderTask::Term::sendOrders(const Orders &Round) {
  for (const StopOrder &Order : Round.Stops) {
    auto Found = this->Drivers.find(Order.Worker);
    if (Found != this->Drivers.end())
      Found->second->stop(Order);
  }
  for (const StartOrder &Order : Round.Starts) {
    this->Links.MetricRegistry
        .histogram("vanillayard_start_wait_seconds",
                   "time from when a task could start to its start order",
                   {{"priority", std::to_string(Order.Priority)}})
        .record(Order.WaitTime);
    this->Drivers.at(Order.Worker)->start(Order);
  }
}

} // namespace vanillayard
