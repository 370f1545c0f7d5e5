#include "PlannerImpl.h"

#include "base/ErrorKind.h"

#include <fmt/format.h>

namespace vanillayard {

PlannerTask::Impl::Impl(const Builder &Options)
    : Options(Options), Records(*Options.Service), Random(Options.Seed) {
  this->Workers.setPlacement(Options.Placement);
}

PlannerTask::Impl::~Impl() = default;

PlannerReport PlannerTask::Impl::report() const {
  return this->Active ? this->Workers.report() : PlannerReport();
}

void PlannerTask::Impl::reportEvent(std::string_view Name,
                                    const PlannedJob &Job) {
  if (this->Options.Listener)
    this->Options.Listener(Name, Job.Record);
}

void PlannerTask::Impl::runEvery(absl::Duration Interval,
                                 std::function<void()> Work) {
  this->Options.Exec->runAfter(
      Interval, this->whileActive([this, Interval, Work = std::move(Work)] {
        Work();
        this->runEvery(Interval, Work);
      }));
}

void PlannerTask::Impl::setActive(bool Value) {
  if (this->Active == Value)
    return;
  this->Active = Value;
  if (Value)
    this->activate();
  else
    this->deactivate();
}

void PlannerTask::Impl::deactivate() {
  this->Alive.reset();
  this->Queue.clear();
  this->Jobs.clear();
  this->Workers.reset();
  this->OrphanedLeases.clear();
  this->Notices.clear();
  this->NoticesPosted = false;
  this->RenewalSentAt.clear();
  this->Started = false;
  this->SchedulingPassPending = false;
}

// Queries the workers and the store in parallel. The planner places nothing
// until all have answered or failed, because it must know the running gangs
// first.
void PlannerTask::Impl::activate() {
  this->Alive = std::make_shared<bool>(true);
  this->HighestTerm = std::max(this->HighestTerm, this->CurrentEpoch.Term);
  this->RecordsAtStart.clear();
  this->LeasesAtStart.clear();
  this->EndedJobs.clear();
  this->LastListSucceeded = false;
  std::vector<const PlannerWorker *> List = this->Workers.listedWorkers();
  this->PendingStatuses = List.size();
  this->ListInProgress = true;
  for (const PlannerWorker *W : List)
    this->workerClient().status(
        W->Address,
        this->whileActive([this](const absl::StatusOr<WorkerStatus> &Status) {
          this->onStatusAtStart(Status);
        }));
  this->Records.list(
      this->whileActive([this](absl::StatusOr<std::vector<StoredJob>> Listed) {
        this->ListInProgress = false;
        this->setStoreAvailable(Listed.ok());
        this->LastListSucceeded = Listed.ok();
        if (Listed.ok())
          this->RecordsAtStart = *std::move(Listed);
        this->finishStart();
      }));
}

void PlannerTask::Impl::updateHighestTerm(const WorkerStatus &Status) {
  for (const LeaseReport &Lease : Status.Leases)
    this->HighestTerm = std::max(this->HighestTerm, Lease.Holder.Term);
}

void PlannerTask::Impl::onStatusAtStart(
    const absl::StatusOr<WorkerStatus> &Status) {
  --this->PendingStatuses;
  if (Status.ok()) {
    this->updateHighestTerm(*Status);
    for (const LeaseReport &Lease : Status->Leases)
      if (Lease.Owner.compare(0, JobRecord::IdPrefix.size(),
                              JobRecord::IdPrefix) == 0)
        this->LeasesAtStart.emplace_back(Lease, Status->Worker);
  }
  this->finishStart();
}

void PlannerTask::Impl::finishStart() {
  if (this->PendingStatuses > 0 || this->ListInProgress || this->Started)
    return;
  this->Started = true;
  // Higher than every term seen. The clock gives a planner that has seen no
  // epoch a higher term than earlier planners.
  this->CurrentEpoch.Term =
      std::max(this->HighestTerm + 1, absl::ToUnixMillis(this->now()));
  this->CurrentEpoch.Holder = this->Options.Host;
  for (const StoredJob &Found : std::exchange(this->RecordsAtStart, {}))
    this->applyRecord(Found);
  this->adoptUnrecordedGangs();
  this->renewAll();
  this->runEvery(this->Options.RenewInterval, [this] { this->renewAll(); });
  this->runEvery(this->Options.ListInterval, [this] {
    this->listRecords();
    this->sweepOrphanedLeases();
  });
  this->runEvery(StoreRetryInterval, [this] {
    if (!this->StoreAvailable)
      this->listRecords();
  });
  this->runEvery(ReclaimPollInterval, [this] { this->checkReclaims(); });
  this->runEvery(SchedulingInterval, [this] { this->requestSchedulingPass(); });
  this->requestSchedulingPass();
}

// Adopts gangs that were found on the workers but whose records could not be
// read or do not show the placement, because the store is or was down. They
// must continue. A gang is adopted only if all its members have started.
void PlannerTask::Impl::adoptUnrecordedGangs() {
  using Found = std::pair<LeaseReport, WorkerId>;
  std::map<std::pair<std::string, std::string>, std::vector<Found>> Groups;
  for (const Found &F : std::exchange(this->LeasesAtStart, {})) {
    const std::string &Lease = F.first.Lease.str();
    Groups[{F.first.Owner, Lease.substr(0, Lease.rfind('.'))}].push_back(F);
  }
  for (const auto &[Key, Group] : Groups) {
    auto Known = this->Jobs.find(JobId(Key.first));
    bool IsNew = Known == this->Jobs.end();
    bool Unrecorded = !IsNew && Known->second->Phase == JobPhase::Queued &&
                      Known->second->Record.Spec.Repeatable;
    if ((IsNew && !this->LastListSucceeded) || Unrecorded)
      this->adoptGang(Group);
  }
}

void PlannerTask::Impl::adoptGang(
    const std::vector<std::pair<LeaseReport, WorkerId>> &Group) {
  const LeaseReport &First = Group.front().first;
  std::vector<GangMember> Members(static_cast<size_t>(First.GangSize));
  size_t Present = 0;
  for (const auto &[Lease, Worker] : Group) {
    bool Started = Lease.State == LeaseState::Running ||
                   Lease.State == LeaseState::Finished;
    const PlannerWorker *W = this->Workers.findWorker(Worker);
    if (!Started || !W || Lease.Member < 0 || Lease.Member >= First.GangSize)
      return;
    GangMember &Member = Members[static_cast<size_t>(Lease.Member)];
    Present += Member.Place.Lease.empty() ? 1 : 0;
    Member.Place = {Worker, W->Address, Lease.Lease, Lease.Accelerators};
    Member.Mask = PlannedJob::maskOf(Lease.Accelerators);
    Member.State = Lease.State;
    Member.StartSent = true;
    Member.RenewedAt = this->now();
  }
  if (Present != Members.size())
    return;
  std::unique_ptr<PlannedJob> &Job = this->Jobs[JobId(First.Owner)];
  if (!Job) {
    Job = std::make_unique<PlannedJob>();
    Job->HasRecord = false;
    Job->Record.Id = JobId(First.Owner);
    Job->Record.Spec.Account = First.Account;
    Job->Record.Spec.Kind = First.Kind;
    Job->Record.Spec.Shape.Members = First.GangSize;
    Job->Record.DataCentre = this->Options.DataCentre;
    Job->Record.State = JobState::Placed;
  }
  this->Queue.remove(*Job);
  Job->Members = std::move(Members);
  Job->StartedAt = this->now() - First.RunTime;
  this->enterPhase(*Job, JobPhase::Running);
  this->Workers.holdExisting(*Job, First.Reclaimable);
}

void PlannerTask::Impl::setConfiguration(
    std::shared_ptr<const Configuration> Value) {
  this->Workers.setConfiguration(std::move(Value), this->Options.DataCentre);
  const Configuration *Config = this->Workers.configuration();
  if (Config) {
    this->Backfill.setMaxGangWait(Config->Bounds.MaxGangWait);
    for (const ClientAccount &Account : Config->Accounts)
      this->Queue.setWeight(Account.Name, Account.Weight);
  }
  this->restoreHolders();
  this->requestSchedulingPass();
}

void PlannerTask::Impl::setWorkers(const std::vector<PlannerWorker> &List) {
  if (this->Workers.setWorkers(List))
    this->restoreHolders();
  this->requestSchedulingPass();
}

// Adds all jobs as holders again after the topology or the guarantees were
// replaced. Large gangs come first, so that they get their guaranteed cells
// back.
void PlannerTask::Impl::restoreHolders() {
  std::vector<PlannedJob *> Holding;
  for (auto &[Id, Job] : this->Jobs) {
    bool Reclaiming = Job->Phase == JobPhase::Reclaiming;
    Job->Promised.clear();
    if (Reclaiming) {
      // The reserved accelerators are given by indexes of the old topology.
      Job->Holder = -1;
      this->enqueue(*Job);
    } else if (Job->Holder >= 0) {
      Holding.push_back(Job.get());
    }
    Job->Holder = -1;
  }
  std::stable_sort(Holding.begin(), Holding.end(),
                   [](const PlannedJob *A, const PlannedJob *B) {
                     return A->accelerators() > B->accelerators();
                   });
  for (PlannedJob *Job : Holding)
    this->Workers.holdExisting(*Job, Job->HeldReclaimable);
}

void PlannerTask::Impl::setDataCentreLost(const DataCentreId &Dc, bool Lost) {
  if (Lost)
    this->LostSince.try_emplace(Dc, this->now());
  else
    this->LostSince.erase(Dc);
}

} // namespace vanillayard
