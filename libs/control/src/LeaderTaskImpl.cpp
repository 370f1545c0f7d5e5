#include "LeaderTaskImpl.h"

#include "WorkersRecord.h"
#include "base/ErrorKind.h"
#include "control/LeaderRole.h"
#include "control/RecordKeys.h"
#include "control/WorkerDirectory.h"
#include "fleet/BatchJobCodec.h"
#include "fleet/JobProgressCodec.h"
#include "fleet/QueueTable.h"
#include "observe/Log.h"
#include "store/CoordinationStore.h"

#include <nlohmann/json.hpp>

#include <algorithm>

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
/// Workers' clocks run at least this fast. From the platform's protocol.
static constexpr double SlowestClock = 0.98;
/// Time for an earlier leader's last orders to reach a worker.
static constexpr absl::Duration OrderDelay = absl::Seconds(1);
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

void LeaderTask::Term::pollWorkers() {
  this->Links.Exec.runAfter(
      this->Terms.RegistrationPoll, [Weak = this->weak_from_this()] {
        std::shared_ptr<Term> Self = Weak.lock();
        if (!Self || Self->IsEnded)
          return;
        Self->Links.Directory.fetch(
            [Weak](absl::StatusOr<std::vector<WorkerEntry>> Result) {
              std::shared_ptr<Term> Again = Weak.lock();
              if (!Again || Again->IsEnded)
                return;
              if (Result.ok())
                Again->takeWorkers(*Result);
              else
                Again->Links.Events.warning("leader",
                                            "registrations could not be read",
                                            {{"error", Result.status()}});
              Again->pollWorkers();
            });
      });
}

void LeaderTask::Term::addDriver(const WorkerEntry &Entry) {
  // An earlier leader may have given a lease to a recorded worker.
  bool MayHoldRuns = this->Unknown.contains(Entry.Id);
  absl::Time LeaseEndsBy = this->now();
  if (MayHoldRuns)
    LeaseEndsBy =
        this->BeganAt + this->Terms.WorkerLease / SlowestClock + OrderDelay;
  this->Drivers.emplace(Entry.Id, std::make_shared<WorkerDriver>(
                                      this->Links.Exec, this->Links.Gateway,
                                      *this, Entry, LeaseEndsBy));
}

void LeaderTask::Term::takeWorkers(const std::vector<WorkerEntry> &Entries) {
  absl::flat_hash_set<WorkerId> Seen;
  for (const WorkerEntry &Entry : Entries) {
    Seen.insert(Entry.Id);
    if (!this->Registered.contains(Entry.Id))
      this->Links.Events.info("leader", "worker is registered",
                              {{"worker", Entry.Id},
                               {"incarnation", Entry.Incarnation},
                               {"rack", Entry.Rack},
                               {"draining", Entry.IsDraining}});
    this->Plan.updateWorker(Entry);
    if (!this->Drivers.contains(Entry.Id))
      this->addDriver(Entry);
  }
  for (const WorkerId &Id : this->Registered)
    if (!Seen.contains(Id))
      this->Links.Events.info("leader", "worker is not registered any more",
                              {{"worker", Id}});
  this->Registered = std::move(Seen);
  this->recordWorkers();
  for (const WorkerEntry &Entry : Entries)
    this->Drivers.at(Entry.Id)->update(Entry);
  for (const auto &[Id, Driver] : this->Drivers)
    this->refreshUsable(Id);
  this->requestPlan();
}

/// Records new workers before anything is started on them, so that the next
/// leader knows where runs may be. Workers that are gone leave the record.
void LeaderTask::Term::recordWorkers() {
  std::set<WorkerId> Wanted = this->Unknown;
  for (const auto &[Id, Driver] : this->Drivers)
    Wanted.insert(Id);
  if (Wanted == this->RecordRequested)
    return;
  this->RecordRequested = Wanted;
  // A worker that is left out may come back before the write is done.
  std::erase_if(this->Recorded,
                [&Wanted](const WorkerId &Id) { return !Wanted.contains(Id); });
  this->Writer->put(std::string(RecordKeys::Workers), encodeWorkers(Wanted),
                    [this, Wanted] {
                      this->Recorded = Wanted;
                      for (const auto &[Id, Driver] : this->Drivers)
                        this->refreshUsable(Id);
                      this->requestPlan();
                    });
}

void LeaderTask::Term::refreshUsable(const WorkerId &Worker) {
  const WorkerDriver &Driver = *this->Drivers.at(Worker);
  this->Plan.setUsable(Worker, this->Registered.contains(Worker) &&
                                   this->Recorded.contains(Worker) &&
                                   Driver.hasReported());
}

void LeaderTask::Term::settleIfKnown() {
  if (this->HasSettled || !this->IsServing || !this->Unknown.empty())
    return;
  this->HasSettled = true;
  this->Links.Events.info(
      "leader", "all runs of earlier leaders are known",
      {{"fence", this->Fence}, {"after", this->now() - this->BeganAt}});
  this->Plan.settle();
  this->requestPlan();
}

absl::Duration LeaderTask::Term::leaseAllowance() const {
  return this->Links.Role.leaseAllowance(this->Terms.WorkerLease);
}

bool LeaderTask::Term::hasRuns(const WorkerId &Worker) const {
  return this->Plan.runsOn(Worker) > 0;
}

void LeaderTask::Term::reported(const WorkerId &Worker,
                                const WorkerReport &Report,
                                absl::Time AskedAt) {
  this->Plan.reportReceived(Worker, Report, AskedAt, this->now());
  this->Drivers.at(Worker)->endsTaken(this->Plan.lastEnd(Worker));
  this->Unknown.erase(Worker);
  this->settleIfKnown();
  this->refreshUsable(Worker);
  if (this->Plan.hasChanges() || !Report.Ends.empty())
    this->Writer->request();
  this->requestPlan();
}

void LeaderTask::Term::runsLost(const WorkerId &Worker) {
  this->Plan.loseRuns(Worker);
  this->Unknown.erase(Worker);
  this->settleIfKnown();
  this->refreshUsable(Worker);
  this->Writer->request();
  this->requestPlan();
}

void LeaderTask::Term::restarted(const WorkerId &Worker) {
  this->Plan.workerRestarted(Worker);
  this->refreshUsable(Worker);
}

void LeaderTask::Term::suspected(const WorkerId &Worker) {
  this->refreshUsable(Worker);
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
  if (Change.IsFinal)
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
  absl::Time Now = this->now();
  for (const auto &[Id, Driver] : this->Drivers) {
    Driver->checkLease();
    Driver->pump();
  }
  absl::Time EarlierLeasesEnd =
      this->BeganAt + this->Terms.WorkerLease / SlowestClock + OrderDelay;
  std::erase_if(this->Unknown, [&](const WorkerId &Id) {
    auto Found = this->Drivers.find(Id);
    absl::Time Ends = Found == this->Drivers.end()
                          ? EarlierLeasesEnd
                          : Found->second->leaseEndsBy();
    return Now >= Ends;
  });
  this->settleIfKnown();
  std::erase_if(this->Drivers, [&](const auto &Entry) {
    const auto &[Id, Driver] = Entry;
    bool IsGone = !this->Registered.contains(Id) && !this->hasRuns(Id) &&
                  Now >= Driver->leaseEndsBy();
    if (!IsGone)
      return false;
    Driver->close();
    this->Plan.removeWorker(Id);
    return true;
  });
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
  for (const StartOrder &Order : Round.Starts)
    this->Drivers.at(Order.Worker)->start(Order);
  if (this->Plan.hasChanges())
    this->Writer->request();
}

} // namespace vanillayard
