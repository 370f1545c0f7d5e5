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

/// Events are collected for this long before a round of planning.
static constexpr absl::Duration PlanDelay = absl::Milliseconds(4);
/// Time between two rounds while work waits for room, a due time or an answer,
/// and between two checks of leases and retention.
static constexpr absl::Duration Tick = absl::Milliseconds(100);
/// Longest wait of one watch of the job records. A connection that has gone
/// silent is found after it.
static constexpr absl::Duration WatchTime = absl::Milliseconds(2000);
/// Pause after a call to the store that failed.
static constexpr absl::Duration RetryDelay = absl::Milliseconds(200);
/// Run numbers of one leader begin at its fencing token times this; a leader
/// starts fewer runs than that in its term.
static constexpr int64_t RunsPerTerm = int64_t(1) << 20;
/// Records of finished jobs are kept this much longer than promised.
static constexpr absl::Duration RetentionSlack = absl::Seconds(30);
/// Most finished jobs deleted in one tick.
static constexpr size_t RemovalsPerTick = 4;
/// Time between two publications of the waiting jobs.
static constexpr absl::Duration WaitingInterval = absl::Seconds(1);

LeaderTask::Term::Term(const Ports &Links, const LeaderTerms &Terms,
                       int64_t Fence)
    : Links(Links), Terms(Terms), Fence(Fence), BeganAt(Links.Exec.now()),
      Plan(Terms.Scheduling, Fence * RunsPerTerm, Links.Events) {}

LeaderTask::Term::~Term() = default;

void LeaderTask::Term::begin() {
  this->Writer = std::make_shared<ProgressWriter>(
      this->Links.Exec, this->Links.Store, this->Plan, *this, this->Fence,
      this->Links.Events);
  this->Loader =
      std::make_shared<LeaderLoader>(this->Links.Exec, this->Links.Store,
                                     this->Links.Directory, this->Links.Events);
  this->Loader->start([Weak = this->weak_from_this()](LoadedRecords Records) {
    std::shared_ptr<Term> Self = Weak.lock();
    if (Self && !Self->IsEnded)
      Self->take(std::move(Records));
  });
}

void LeaderTask::Term::end() {
  this->IsEnded = true;
  this->IsServing = false;
  this->Loader.reset();
  if (this->Writer)
    this->Writer->close();
  for (auto &[Id, Driver] : this->Drivers)
    Driver->close();
}

void LeaderTask::Term::configurationChanged(const QueueTable &Newer) {
  this->Plan.setConfiguration(Newer.configuration());
  this->requestPlan();
}

void LeaderTask::Term::take(LoadedRecords Records) {
  size_t Unfinished = 0;
  for (LoadedRecords::LoadedJob &Loaded : Records.Jobs) {
    JobId Id = Loaded.Job.Id;
    this->KnownJobs.insert(Id);
    this->Writer->noteRevision(RecordKeys::progress(Id),
                               Loaded.ProgressRevision);
    if (isFinal(Loaded.Progress.State)) {
      this->Finished.emplace_back(
          this->now() + this->Terms.Retention + RetentionSlack, Id);
      continue;
    }
    ++Unfinished;
    this->Plan.addJob(std::move(Loaded.Job), std::move(Loaded.Progress), true,
                      this->now());
  }
  for (const JobId &Id : Records.Cancelled)
    this->Plan.cancelJob(Id, this->now());
  this->Writer->noteRevision(std::string(RecordKeys::Workers),
                             Records.WorkersRevision);
  this->Recorded.insert(Records.RecordedWorkers.begin(),
                        Records.RecordedWorkers.end());
  this->RecordRequested = this->Recorded;
  this->Unknown = this->Recorded;
  this->Links.Events.info("leader", "records are loaded",
                          {{"fence", this->Fence},
                           {"jobs", Records.Jobs.size()},
                           {"unfinished", Unfinished},
                           {"recorded_workers", this->Recorded.size()},
                           {"registered_workers", Records.Workers.size()}});
  this->IsServing = true;
  this->watchJobs(Records.JobRevision);
  this->takeWorkers(Records.Workers);
  this->settleIfKnown();
  this->pollWorkers();
  this->housekeep();
  this->publishWaiting();
  this->Writer->request();
}

void LeaderTask::Term::takeJobItem(const StoreItem &Item) {
  std::optional<RecordKeys::JobKey> Key = RecordKeys::parseJobKey(Item.Key);
  if (!Key)
    return;
  if (Key->IsCancel) {
    this->Plan.cancelJob(Key->Id, this->now());
    return;
  }
  if (!this->KnownJobs.insert(Key->Id).second)
    return;
  absl::StatusOr<BatchJob> Job = decodeBatchJob(Item.Value);
  if (!Job.ok()) {
    this->Links.Events.error("leader", "unreadable job record",
                             {{"key", Item.Key}, {"error", Job.status()}});
    return;
  }
  // The progress record was created in the same transaction.
  this->Writer->noteRevision(RecordKeys::progress(Key->Id), Item.Revision);
  JobProgress Progress(*Job);
  this->Plan.addJob(*std::move(Job), std::move(Progress), false, this->now());
}

void LeaderTask::Term::watchJobs(int64_t Revision) {
  this->Links.Store.awaitChanges(
      std::string(RecordKeys::JobPrefix), Revision, WatchTime,
      [Weak = this->weak_from_this(),
       Revision](absl::StatusOr<StoreChanges> Result) {
        std::shared_ptr<Term> Self = Weak.lock();
        if (!Self || Self->IsEnded)
          return;
        if (!Result.ok()) {
          Self->Links.Exec.runAfter(RetryDelay, [Weak, Revision] {
            std::shared_ptr<Term> Again = Weak.lock();
            if (Again && !Again->IsEnded)
              Again->watchJobs(Revision);
          });
          return;
        }
        if (Result->IsHistoryLost)
          return Self->relistJobs();
        for (const StoreChange &Change : Result->Changes)
          if (!Change.IsDeleted)
            Self->takeJobItem(Change.Item);
        if (!Result->Changes.empty())
          Self->requestPlan();
        Self->watchJobs(Result->Revision);
      });
}

/// The store has dropped changes that were not seen: reads the records again.
void LeaderTask::Term::relistJobs() {
  this->Links.Store.list(
      std::string(RecordKeys::JobPrefix),
      [Weak = this->weak_from_this()](absl::StatusOr<StoreListing> Result) {
        std::shared_ptr<Term> Self = Weak.lock();
        if (!Self || Self->IsEnded)
          return;
        if (!Result.ok()) {
          Self->Links.Exec.runAfter(RetryDelay, [Weak] {
            std::shared_ptr<Term> Again = Weak.lock();
            if (Again && !Again->IsEnded)
              Again->relistJobs();
          });
          return;
        }
        for (const StoreItem &Item : Result->Items)
          Self->takeJobItem(Item);
        Self->requestPlan();
        Self->watchJobs(Result->Revision);
      });
}

absl::Duration LeaderTask::Term::leaseAllowance() const {
  return this->Links.Role.leaseAllowance(this->Terms.WorkerLease);
}

bool LeaderTask::Term::mayStart(const StartOrder &Order) const {
  return this->Links.Role.mayStart() && this->Plan.isStartWanted(Order);
}

bool LeaderTask::Term::hasRuns(const WorkerId &Worker) const {
  return this->Plan.runsOn(Worker) > 0;
}

void LeaderTask::Term::startAnswered(const StartOrder &Order,
                                     OrderAnswer Answer) {
  this->Plan.startAnswered(Order, Answer, this->now());
  if (Answer != OrderAnswer::Accepted)
    this->requestPlan();
}

void LeaderTask::Term::stopAnswered(const StopOrder &Order, bool IsAnswered) {
  this->Plan.stopAnswered(Order, IsAnswered, this->now());
  if (!IsAnswered)
    this->requestPlan();
}

void LeaderTask::Term::fenced() {
  if (!this->IsEnded)
    this->Links.Exec.post([Weak = this->weak_from_this()] {
      std::shared_ptr<Term> Self = Weak.lock();
      if (Self && !Self->IsEnded)
        Self->Links.Role.yield();
    });
}

void LeaderTask::Term::superseded() {
  this->fenced();
}

EndMarks LeaderTask::Term::endsTaken() const {
  EndMarks Ends;
  for (const auto &[Id, Driver] : this->Drivers)
    if (int64_t Last = this->Plan.lastEnd(Id); Last > 0)
      Ends[Id] = {Driver->entry().Incarnation, Last};
  return Ends;
}

void LeaderTask::Term::endsRecorded(const EndMarks &Ends) {
  for (const auto &[Id, Mark] : Ends) {
    auto Found = this->Drivers.find(Id);
    if (Found != this->Drivers.end())
      Found->second->acknowledge(Mark);
  }
}

void LeaderTask::Term::written(const ProgressChange &Change) {
  if (!Change.IsFinal)
    return;
  this->Links.Figures
      .counter("vanillayard_jobs_ended_total",
               "jobs whose end was recorded, by queue and state",
               {{"queue", Change.Queue},
                {"state", std::string(BatchStateNames.nameOf(Change.State))}})
      .add();
  this->Finished.emplace_back(
      this->now() + this->Terms.Retention + RetentionSlack, Change.Job);
}

void LeaderTask::Term::publishWaiting() {
  if (this->IsEnded)
    return;
  std::map<std::string, int64_t> Waiting = this->Plan.waitingByQueue();
  if (Waiting != this->PublishedWaiting && !this->IsWaitingPublishing) {
    this->IsWaitingPublishing = true;
    this->Writer->put(std::string(RecordKeys::Waiting),
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
  std::vector<std::string> Keys;
  for (size_t I = 0; I < RemovalsPerTick && !this->Finished.empty() &&
                     this->Finished.front().first <= this->now();
       ++I) {
    JobId Id = std::move(this->Finished.front().second);
    this->Finished.pop_front();
    Keys.push_back(RecordKeys::job(Id));
    Keys.push_back(RecordKeys::cancel(Id));
    Keys.push_back(RecordKeys::progress(Id));
    this->KnownJobs.erase(Id);
  }
  if (!Keys.empty())
    this->Writer->remove(std::move(Keys));
}

/// Regular checks: leases that have run out, workers that are gone, records
/// that have expired, and work that waits.
void LeaderTask::Term::housekeep() {
  if (this->IsEnded)
    return;
  for (const auto &[Id, Driver] : this->Drivers) {
    Driver->checkLease();
    Driver->pump();
  }
  this->dropExpiredUnknown();
  this->dropGoneWorkers();
  this->removeExpiredJobs();
  if (this->Plan.hasWaitingWork())
    this->plan();
  this->Links.Exec.runAfter(Tick, [Weak = this->weak_from_this()] {
    if (std::shared_ptr<Term> Self = Weak.lock())
      Self->housekeep();
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
  // Without a confirmed role another leader may start the same tasks.
  if (!this->Links.Role.mayStart())
    return;
  Orders Round = this->Plan.plan(this->now());
  for (const StopOrder &Order : Round.Stops) {
    auto Found = this->Drivers.find(Order.Worker);
    if (Found != this->Drivers.end())
      Found->second->stop(Order);
  }
  for (const StartOrder &Order : Round.Starts) {
    this->Links.Figures
        .histogram("vanillayard_start_wait_seconds",
                   "time from when a task could start to its start order",
                   {{"priority", std::to_string(Order.Priority)}})
        .record(Order.Waited);
    this->Drivers.at(Order.Worker)->start(Order);
  }
  if (this->Plan.hasChanges())
    this->Writer->request();
}

} // namespace vanillayard
