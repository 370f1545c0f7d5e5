#include "PlannerImpl.h"

#include <fmt/format.h>

#include <algorithm>

namespace vanillayard {

void PlannerTask::Impl::requestSchedulingPass() {
  if (!this->Active || !this->Started || this->SchedulingPassPending)
    return;
  this->SchedulingPassPending = true;
  this->Options.Exec->post(this->whileActive([this] {
    this->SchedulingPassPending = false;
    this->schedule();
  }));
}

void PlannerTask::Impl::enqueue(PlannedJob &Job) {
  this->Queue.remove(Job);
  this->enterPhase(Job, JobPhase::Queued);
  Job.Members.clear();
  Job.Victims.clear();
  Job.Stopper.reset();
  Job.BeingReclaimed = false;
  this->Queue.push(Job);
}

// Exponential backoff with full jitter, so that two gangs that need the same
// workers do not conflict again.
void PlannerTask::Impl::backOff(PlannedJob &Job) {
  static constexpr absl::Duration InitialBackoff = absl::Milliseconds(200);
  static constexpr int MaxDoublings = 5;
  int Doublings = std::min(Job.Backoffs++, MaxDoublings);
  std::uniform_real_distribution<double> Jitter(0, 1);
  Job.NotBefore =
      this->now() + InitialBackoff * (1 << Doublings) * Jitter(this->Random);
}

absl::Duration PlannerTask::Impl::expectedRunTime(const PlannedJob &Job) const {
  const JobSpec &Spec = Job.Record.Spec;
  if (Spec.DeclaredRunTime <= absl::ZeroDuration())
    return absl::ZeroDuration();
  return this->Correction.expected(Spec.Account, Spec.Kind,
                                   Spec.DeclaredRunTime);
}

double PlannerTask::Impl::costOf(const PlannedJob &Job) const {
  absl::Duration Expected = this->expectedRunTime(Job);
  if (Expected <= absl::ZeroDuration())
    Expected = DefaultRunTime;
  return Job.accelerators() * absl::ToDoubleSeconds(Expected);
}

// Updates the lost work and the expected end of every holder, for preemption
// and reservations.
void PlannerTask::Impl::updateHolders() {
  // A checkpointable job loses only the work since its last checkpoint, which
  // is estimated as a small share of its run time.
  static constexpr double ShareLostAfterCheckpoint = 0.05;
  Occupancy &Held = this->Workers.occupancy();
  this->ExpectedEnds.assign(static_cast<size_t>(Held.holderCount()),
                            this->now());
  for (const auto &[Id, Job] : this->Jobs) {
    if (Job->Holder < 0)
      continue;
    absl::Duration Ran =
        std::max(absl::ZeroDuration(), this->now() - Job->StartedAt);
    double Lost = Job->accelerators() * absl::ToDoubleSeconds(Ran);
    if (Job->Record.Spec.Checkpointable)
      Lost *= ShareLostAfterCheckpoint;
    Held.setLostWork(Job->Holder, Lost);
    absl::Duration Expected = this->expectedRunTime(*Job);
    if (Expected <= absl::ZeroDuration())
      Expected = DefaultRunTime;
    this->ExpectedEnds[static_cast<size_t>(Job->Holder)] =
        std::max(Job->StartedAt + Expected, this->now());
  }
}

bool PlannerTask::Impl::exceedsQuota(const PlannedJob &Job) {
  const Configuration *Config = this->Workers.configuration();
  int Account = this->Workers.accountIndex(Job.Record.Spec.Account);
  if (!Config || Account < 0)
    return false;
  int Quota = Config->Accounts[static_cast<size_t>(Account)].AcceleratorQuota;
  return Quota > 0 &&
         this->Workers.acceleratorsHeldBy(Account) + Job.accelerators() > Quota;
}

// Returns whether the job can be tried now. Records the outcome of jobs that
// were cancelled or can no longer start.
bool PlannerTask::Impl::isReady(PlannedJob &Job) {
  const JobSpec &Spec = Job.Record.Spec;
  if (Job.CancelWanted) {
    this->recordOutcome(Job, JobState::Cancelled, "cancelled while queued",
                        Job.Record.MayHaveRun);
    return false;
  }
  const Topology &Topo = this->Workers.topology();
  if (Topo.workerCount() > 0 && Topo.neverFits(Spec.Shape)) {
    this->recordOutcome(Job, JobState::NeverFits,
                        "no worker, rack or data centre can hold the gang",
                        Job.Record.MayHaveRun);
    return false;
  }
  if (Spec.Deadline > absl::ZeroDuration() &&
      this->now() > Job.Record.Submitted + Spec.Deadline) {
    this->recordOutcome(Job, JobState::DeadlineExpired,
                        "the deadline passed before the job started",
                        Job.Record.MayHaveRun);
    return false;
  }
  // Without the store, a job that must not run twice waits and acquires no
  // lease.
  if (!this->StoreAvailable && !Spec.Repeatable)
    return false;
  const Configuration *Config = this->Workers.configuration();
  if (!Config)
    return false;
  const KindOfWork *Kind = Config->findKind(Spec.Kind);
  if (Kind && Kind->UrgencyLevel == Urgency::Deferrable &&
      !Config->activePreset().AdmitDeferrable)
    return false;
  return this->now() >= Job.NotBefore && !this->exceedsQuota(Job);
}

void PlannerTask::Impl::schedule() {
  if (this->Queue.size() == 0)
    return;
  const Configuration *Config = this->Workers.configuration();
  bool Borrowing = Config && Config->activePreset().Borrowing;
  this->updateHolders();
  std::vector<PlannedJob *> Order;
  this->Queue.collectInFairOrder(
      MaxTriesPerPass,
      [this](const PlannedJob &Job) { return this->costOf(Job); }, Order);
  this->Backfill.beginPass(this->Workers.occupancy(), this->now());
  AdmissionDecision Decision;
  for (PlannedJob *Job : Order) {
    if (!this->isReady(*Job))
      continue;
    WaitingGang Gang{std::hash<std::string>()(Job->Record.Id.str()),
                     Job->Record.Spec.Shape, Job->Record.Spec.isReclaimable(),
                     this->expectedRunTime(*Job), Job->Record.Submitted};
    this->Workers.decideAdmission(*Job, Borrowing,
                                  this->Backfill.deniedMasks(Gang), this->now(),
                                  Decision);
    if (Decision.Class != AdmissionClass::Wait &&
        this->tryStart(*Job, Decision))
      continue;
    this->Workers.unbindUnusedCells(Decision);
    if (!this->Backfill.onBlocked(this->Workers.occupancy(), Gang,
                                  this->ExpectedEnds))
      break;
  }
}

void PlannerTask::Impl::setMembers(PlannedJob &Job,
                                   const GangPlacement &Chosen) {
  Job.Members.clear();
  GangPlacement Places = Chosen;
  // Topology indexes are in order of rack, but leases are acquired in order of
  // worker id.
  std::sort(Places.begin(), Places.end(),
            [this](const MemberPlace &A, const MemberPlace &B) {
              const WorkerId &Left = this->Workers.worker(A.Worker).Id;
              const WorkerId &Right = this->Workers.worker(B.Worker).Id;
              return std::tie(Left, A.Mask) < std::tie(Right, B.Mask);
            });
  for (size_t I = 0; I < Places.size(); ++I) {
    const PlannerWorker &W = this->Workers.worker(Places[I].Worker);
    GangMember Member;
    Member.Mask = Places[I].Mask;
    // Unique for each attempt of each planner, so that no lease id is reused.
    Member.Place = {W.Id, W.Address,
                    LeaseId(fmt::format("{}.{}-{}-{}.{}", Job.Record.Id.str(),
                                        this->CurrentEpoch.Term,
                                        this->CurrentEpoch.Holder.str(),
                                        this->LastSerial, I)),
                    PlannedJob::indexesOf(Places[I].Mask)};
    Job.Members.push_back(std::move(Member));
  }
}

bool PlannerTask::Impl::tryStart(PlannedJob &Job,
                                 const AdmissionDecision &Decision) {
  this->Queue.remove(Job);
  this->Queue.charge(Job.Record.Spec.Account, this->costOf(Job));
  Job.StartedAt = this->now();
  this->enterPhase(Job, JobPhase::Acquiring);
  this->setMembers(Job, Decision.Plan.Members);
  this->Workers.addHolder(Job, Decision, this->now());
  if (!Decision.Plan.Victims.empty()) {
    Job.Promised = Decision.Plan.Members;
    this->reclaimFor(Job, Decision.Plan.Victims);
    return true;
  }
  this->Workers.place(Job);
  this->acquireLeases(Job);
  return true;
}

} // namespace vanillayard
