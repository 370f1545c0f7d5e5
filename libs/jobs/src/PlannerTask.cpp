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

void PlannerTask::Impl::tell(std::string_view Name, const PlannedJob &Job) {
  if (this->Options.Listener)
    this->Options.Listener(Name, Job.Record);
}

void PlannerTask::Impl::every(absl::Duration Interval,
                              std::function<void()> Work) {
  this->Options.Exec->runAfter(
      Interval, this->whileActive([this, Interval, Work = std::move(Work)] {
        Work();
        this->every(Interval, Work);
      }));
}

void PlannerTask::Impl::setPlanner(bool Value) {
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
  this->Orphans.clear();
  this->Notices.clear();
  this->NoticesPosted = false;
  this->RenewalOpen.clear();
  this->Started = false;
  this->Dirty = false;
}

// Asks workers and store at the same time. The planner acts when both have
// answered or failed: running gangs must be known before anything is placed.
void PlannerTask::Impl::activate() {
  this->Alive = std::make_shared<bool>(true);
  this->HighestTerm = std::max(this->HighestTerm, this->Current.Term);
  this->ListedAtStart.clear();
  this->FoundAtStart.clear();
  this->EndedJobs.clear();
  this->ListIsFresh = false;
  std::vector<const PlannerWorker *> List = this->Workers.listed();
  this->StatusesOpen = List.size();
  this->ListOpen = true;
  for (const PlannerWorker *W : List)
    this->workers().status(
        W->Address,
        this->whileActive([this](const absl::StatusOr<WorkerStatus> &Status) {
          this->onStatusAtStart(Status);
        }));
  this->Records.list(
      this->whileActive([this](absl::StatusOr<std::vector<StoredJob>> Listed) {
        this->ListOpen = false;
        this->noteStore(Listed.ok());
        this->ListIsFresh = Listed.ok();
        if (Listed.ok())
          this->ListedAtStart = *std::move(Listed);
        this->finishStart();
      }));
}

void PlannerTask::Impl::noteEpochs(const WorkerStatus &Status) {
  for (const LeaseReport &Lease : Status.Leases)
    this->HighestTerm = std::max(this->HighestTerm, Lease.Holder.Term);
}

void PlannerTask::Impl::onStatusAtStart(
    const absl::StatusOr<WorkerStatus> &Status) {
  --this->StatusesOpen;
  if (Status.ok()) {
    this->noteEpochs(*Status);
    for (const LeaseReport &Lease : Status->Leases)
      if (Lease.Owner.compare(0, JobRecord::IdPrefix.size(),
                              JobRecord::IdPrefix) == 0)
        this->FoundAtStart.emplace_back(Lease, Status->Worker);
  }
  this->finishStart();
}

void PlannerTask::Impl::finishStart() {
  if (this->StatusesOpen > 0 || this->ListOpen || this->Started)
    return;
  this->Started = true;
  // Higher than every epoch seen. The clock keeps planners that have seen
  // nothing apart from earlier ones.
  this->Current.Term =
      std::max(this->HighestTerm + 1, absl::ToUnixMillis(this->now()));
  this->Current.Holder = this->Options.Host;
  for (const StoredJob &Found : std::exchange(this->ListedAtStart, {}))
    this->absorb(Found);
  this->adoptUnrecorded();
  this->renewAll();
  this->every(this->Options.RenewInterval, [this] { this->renewAll(); });
  this->every(this->Options.ListInterval, [this] {
    this->list();
    this->sweep();
  });
  this->every(StoreRetry, [this] {
    if (!this->StoreAnswers)
      this->list();
  });
  this->every(ReclaimPoll, [this] { this->checkReclaims(); });
  this->every(TickInterval, [this] { this->markDirty(); });
  this->markDirty();
}

// Gangs whose records could not be read: the store is down, and they must go
// on. A group counts only if the whole gang is there and has started.
void PlannerTask::Impl::adoptUnrecorded() {
  using Found = std::pair<LeaseReport, WorkerId>;
  std::map<std::pair<std::string, std::string>, std::vector<Found>> Groups;
  for (const Found &F : std::exchange(this->FoundAtStart, {})) {
    const std::string &Lease = F.first.Lease.str();
    Groups[{F.first.Owner, Lease.substr(0, Lease.rfind('.'))}].push_back(F);
  }
  for (const auto &[Key, Group] : Groups) {
    auto Known = this->Jobs.find(JobId(Key.first));
    bool IsNew = Known == this->Jobs.end();
    bool Unrecorded = !IsNew && Known->second->Phase == JobPhase::Queued &&
                      Known->second->Record.Spec.Repeatable;
    if ((IsNew && !this->ListIsFresh) || Unrecorded)
      this->adoptGroup(Group);
  }
}

void PlannerTask::Impl::adoptGroup(
    const std::vector<std::pair<LeaseReport, WorkerId>> &Group) {
  const LeaseReport &First = Group.front().first;
  std::vector<GangMember> Members(static_cast<size_t>(First.GangSize));
  size_t Present = 0;
  for (const auto &[Lease, Worker] : Group) {
    bool Started = Lease.State == LeaseState::Running ||
                   Lease.State == LeaseState::Finished;
    const PlannerWorker *W = this->Workers.find(Worker);
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
  this->enter(*Job, JobPhase::Running);
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
  this->holdAllAgain();
  this->markDirty();
}

void PlannerTask::Impl::setWorkers(const std::vector<PlannerWorker> &List) {
  if (this->Workers.setWorkers(List))
    this->holdAllAgain();
  this->markDirty();
}

// After the topology or the guarantees were replaced. Large gangs first, so
// that they get their guaranteed cells again.
void PlannerTask::Impl::holdAllAgain() {
  std::vector<PlannedJob *> Holding;
  for (auto &[Id, Job] : this->Jobs) {
    bool Reclaiming = Job->Phase == JobPhase::Reclaiming;
    Job->Promised.clear();
    if (Reclaiming) {
      // The places were chosen for the old topology.
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
