#include "LeaderTaskImpl.h"

#include "WorkerClock.h"
#include "WorkersRecord.h"
#include "control/RecordKeys.h"
#include "control/WorkerDirectory.h"
#include "observe/Log.h"

#include <algorithm>
#include <utility>

namespace vanillayard {

/// Time after which the last orders of an earlier leader have reached their
/// workers.
static constexpr absl::Duration OrderDelay = absl::Seconds(1);
/// Delay from the first report of a new worker to the write of the record of
/// workers, which covers the workers that report meanwhile.
static constexpr absl::Duration WorkersRecordDelay = absl::Milliseconds(20);

void LeaderTask::Term::pollWorkers() {
  this->Links.Exec.runAfter(
      this->Options.RegistrationPollInterval, [Weak = this->weak_from_this()] {
        std::shared_ptr<Term> Self = Weak.lock();
        if (!Self || Self->IsEnded)
          return;
        Self->Links.Directory.fetch(
            [Weak, AskedAt = Self->now()](
                absl::StatusOr<std::vector<WorkerRegistration>> Result) {
              std::shared_ptr<Term> Again = Weak.lock();
              if (!Again || Again->IsEnded)
                return;
              if (Result.ok()) {
                Again->applyRegistrations(*Result);
                Again->excludeRestarts(AskedAt);
              } else {
                Again->RegistrationsReadSince = absl::InfiniteFuture();
                Again->Links.Events.warning(
                    "leader", "worker registrations could not be read",
                    {{"error", Result.status()}});
              }
              Again->pollWorkers();
            });
      });
}

/// A worker that restarts is registered anew within RegistrationInterval, and
/// that registration outlasts several reads. So a read shows each restart that
/// was earlier by this interval, unless earlier reads have failed.
void LeaderTask::Term::excludeRestarts(absl::Time ReadAt) {
  this->RegistrationsReadSince = std::min(this->RegistrationsReadSince, ReadAt);
  this->JobScheduler.restartsExcluded(this->RegistrationsReadSince,
                                      ReadAt -
                                          this->Options.RegistrationInterval);
}

void LeaderTask::Term::addDriver(const WorkerRegistration &Registration) {
  // An earlier leader may have granted a lease to a recorded worker.
  bool MayHoldRuns = this->UnreportedWorkers.contains(Registration.Id);
  absl::Time LeaseEndsBy = MayHoldRuns ? this->earlierLeasesEnd() : this->now();
  absl::Time EarlierCallsUntil =
      MayHoldRuns ? this->BeganAt + OrderDelay : absl::InfinitePast();
  this->Drivers.emplace(Registration.Id,
                        std::make_shared<WorkerDriver>(
                            this->Links.Exec, this->Links.Gateway, *this,
                            Registration, LeaseEndsBy, EarlierCallsUntil,
                            this->Options.LongestWorkerLease));
}

void LeaderTask::Term::applyRegistrations(
    const std::vector<WorkerRegistration> &Registrations) {
  absl::flat_hash_set<WorkerId> Seen;
  for (const WorkerRegistration &Registration : Registrations) {
    Seen.insert(Registration.Id);
    if (!this->RegisteredWorkers.contains(Registration.Id))
      this->Links.Events.info("leader", "worker is registered",
                              {{"worker", Registration.Id},
                               {"incarnation", Registration.Incarnation},
                               {"rack", Registration.Rack},
                               {"draining", Registration.IsDraining}});
    this->JobScheduler.updateWorker(Registration);
    if (!this->Drivers.contains(Registration.Id))
      this->addDriver(Registration);
  }
  for (const WorkerId &Id : this->RegisteredWorkers)
    if (!Seen.contains(Id))
      this->Links.Events.info("leader", "worker is not registered any more",
                              {{"worker", Id}});
  this->RegisteredWorkers = std::move(Seen);
  this->recordWorkers();
  for (const WorkerRegistration &Registration : Registrations)
    this->Drivers.at(Registration.Id)->update(Registration);
  for (const auto &[Id, Driver] : this->Drivers)
    this->refreshUsable(Id);
  this->requestPlan();
}

/// Records new workers before any run is started on them, so that the next
/// leader knows which workers may have runs. Removes workers that have left.
/// Leaves out workers that have never answered, because the next leader waits
/// for the report or the longest lease of every recorded one.
void LeaderTask::Term::recordWorkers() {
  std::set<WorkerId> Wanted = this->UnreportedWorkers;
  for (const auto &[Id, Driver] : this->Drivers)
    if (Driver->hasEverReported())
      Wanted.insert(Id);
  if (Wanted == this->RequestedWorkers)
    return;
  this->RequestedWorkers = Wanted;
  // A removed worker may register again before the write completes; until it is
  // recorded again, no run may be started on it.
  std::erase_if(this->RecordedWorkers,
                [&Wanted](const WorkerId &Id) { return !Wanted.contains(Id); });
  this->Writer->putRecord(std::string(RecordKeys::Workers),
                          encodeWorkers(Wanted), [this, Wanted] {
                            this->RecordedWorkers = Wanted;
                            for (const auto &[Id, Driver] : this->Drivers)
                              this->refreshUsable(Id);
                            this->requestPlan();
                          });
}

/// Records workers after WorkersRecordDelay, together with those that report
/// meanwhile.
void LeaderTask::Term::recordWorkersSoon() {
  if (std::exchange(this->IsWorkersRecordDue, true))
    return;
  this->Links.Exec.runAfter(WorkersRecordDelay,
                            [Weak = this->weak_from_this()] {
                              std::shared_ptr<Term> Self = Weak.lock();
                              if (!Self || Self->IsEnded)
                                return;
                              Self->IsWorkersRecordDue = false;
                              Self->recordWorkers();
                            });
}

void LeaderTask::Term::refreshUsable(const WorkerId &Worker) {
  const WorkerDriver &Driver = *this->Drivers.at(Worker);
  this->JobScheduler.setUsable(Worker,
                               this->RegisteredWorkers.contains(Worker) &&
                                   this->RecordedWorkers.contains(Worker) &&
                                   Driver.mayTakeRuns());
}

void LeaderTask::Term::settleIfAllRunsKnown() {
  if (this->HasSettled || !this->IsServing || !this->UnreportedWorkers.empty())
    return;
  this->HasSettled = true;
  this->Links.Events.info(
      "leader", "all runs of earlier leaders are known",
      {{"fence", this->Fence}, {"after", this->now() - this->BeganAt}});
  this->JobScheduler.finishRecovery();
  this->requestPlan();
}

void LeaderTask::Term::reported(const WorkerId &Worker,
                                const WorkerReport &Report,
                                absl::Time AskedAt) {
  this->JobScheduler.reportReceived(Worker, Report, AskedAt, this->now());
  this->Drivers.at(Worker)->setProcessedEnd(
      this->JobScheduler.lastEndSequence(Worker));
  this->UnreportedWorkers.erase(Worker);
  this->settleIfAllRunsKnown();
  if (!this->RequestedWorkers.contains(Worker))
    this->recordWorkersSoon();
  this->refreshUsable(Worker);
  if (this->JobScheduler.hasChanges() || !Report.Ends.empty())
    this->Writer->requestWrite();
  this->requestPlan();
}

void LeaderTask::Term::runsLost(const WorkerId &Worker) {
  this->JobScheduler.workerLeaseExpired(Worker, this->now());
  this->UnreportedWorkers.erase(Worker);
  this->settleIfAllRunsKnown();
  this->refreshUsable(Worker);
  this->Writer->requestWrite();
  this->requestPlan();
}

void LeaderTask::Term::restarted(const WorkerId &Worker) {
  this->JobScheduler.workerRestarted(Worker);
  this->refreshUsable(Worker);
}

void LeaderTask::Term::usabilityChanged(const WorkerId &Worker) {
  this->refreshUsable(Worker);
}

/// Time at which every lease that an earlier leader granted has expired.
absl::Time LeaderTask::Term::earlierLeasesEnd() const {
  return this->BeganAt + this->Options.WorkerLease / SlowestWorkerClock +
         OrderDelay;
}

/// Stops waiting for the reports of workers on which every lease that this or
/// an earlier leader may have granted has expired: their runs have ended.
void LeaderTask::Term::dropExpiredUnreported() {
  std::erase_if(this->UnreportedWorkers, [this](const WorkerId &Id) {
    auto Found = this->Drivers.find(Id);
    if (Found != this->Drivers.end())
      return this->now() >= Found->second->leaseEndsBy();
    if (this->now() < this->earlierLeasesEnd())
      return false;
    // A worker without a driver has not registered since this term began.
    this->JobScheduler.workerLeaseExpired(Id, this->now());
    this->JobScheduler.removeWorker(Id);
    return true;
  });
  this->settleIfAllRunsKnown();
}

void LeaderTask::Term::dropGoneWorkers() {
  std::erase_if(this->Drivers, [this](const auto &Entry) {
    const auto &[Id, Driver] = Entry;
    bool IsGone = !this->RegisteredWorkers.contains(Id) &&
                  this->JobScheduler.runCount(Id) == 0 &&
                  this->now() >= Driver->leaseEndsBy();
    if (!IsGone)
      return false;
    Driver->close();
    this->JobScheduler.removeWorker(Id);
    return true;
  });
}

} // namespace vanillayard
