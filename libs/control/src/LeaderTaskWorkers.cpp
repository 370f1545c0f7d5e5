#include "LeaderTaskImpl.h"

#include "WorkerClock.h"
#include "WorkersRecord.h"
#include "control/RecordKeys.h"
#include "control/WorkerDirectory.h"
#include "observe/Log.h"

#include <algorithm>

namespace vanillayard {

/// Time for an earlier leader's last orders to reach a worker.
static constexpr absl::Duration OrderDelay = absl::Seconds(1);

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
  absl::Time LeaseEndsBy = MayHoldRuns ? this->earlierLeasesEnd() : this->now();
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
                                   Driver.mayTakeRuns());
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

void LeaderTask::Term::usabilityChanged(const WorkerId &Worker) {
  this->refreshUsable(Worker);
}

/// When every lease that an earlier leader has given has expired.
absl::Time LeaderTask::Term::earlierLeasesEnd() const {
  return this->BeganAt + this->Terms.WorkerLease / SlowestWorkerClock +
         OrderDelay;
}

/// Workers whose last possible lease has expired hold no runs any more.
void LeaderTask::Term::dropExpiredUnknown() {
  std::erase_if(this->Unknown, [this](const WorkerId &Id) {
    auto Found = this->Drivers.find(Id);
    absl::Time Ends = Found == this->Drivers.end()
                          ? this->earlierLeasesEnd()
                          : Found->second->leaseEndsBy();
    return this->now() >= Ends;
  });
  this->settleIfKnown();
}

void LeaderTask::Term::dropGoneWorkers() {
  std::erase_if(this->Drivers, [this](const auto &Entry) {
    const auto &[Id, Driver] = Entry;
    bool IsGone = !this->Registered.contains(Id) && !this->hasRuns(Id) &&
                  this->now() >= Driver->leaseEndsBy();
    if (!IsGone)
      return false;
    Driver->close();
    this->Plan.removeWorker(Id);
    return true;
  });
}

} // namespace vanillayard
