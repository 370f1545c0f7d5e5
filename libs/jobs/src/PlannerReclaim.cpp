#include "PlannerImpl.h"

#include <algorithm>

namespace vanillayard {

/// Fraction of its speed to which a victim is throttled while it writes its
/// checkpoint.
static constexpr double ThrottledShare = 0.25;

void PlannerTask::Impl::reclaimFor(PlannedJob &Job,
                                   const std::vector<int> &Victims) {
  this->enterPhase(Job, JobPhase::Reclaiming);
  for (const MemberPlace &P : Job.Promised)
    this->Workers.occupancy().reserve(P);
  for (auto &[Id, Victim] : this->Jobs) {
    if (Victim->Holder < 0 || std::find(Victims.begin(), Victims.end(),
                                        Victim->Holder) == Victims.end())
      continue;
    Job.Victims.push_back(Id);
    this->reclaim(*Victim);
  }
}

// Preempts a whole gang. A checkpointable gang is throttled and writes a
// checkpoint within the grace period, and is then stopped.
void PlannerTask::Impl::reclaim(PlannedJob &Victim) {
  if (Victim.BeingReclaimed)
    return;
  Victim.BeingReclaimed = true;
  this->reportEvent("reclaim", Victim);
  const Configuration *Config = this->Workers.configuration();
  absl::Duration Grace =
      Config ? Config->Bounds.ReclaimGrace : absl::ZeroDuration();
  bool Waits =
      Victim.Record.Spec.Checkpointable && Victim.Phase == JobPhase::Running;
  Victim.ReclaimDeadline = Waits ? this->now() + Grace : this->now();
  if (Waits)
    this->requestCheckpoint(Victim);
  for (const GangMember &Member : Victim.Members)
    if (Waits && Member.State == LeaseState::Running)
      this->workerClient().throttle(Member.Place.Address, Member.Place.Lease,
                                    this->CurrentEpoch, ThrottledShare,
                                    [](const auto &) {});
}

void PlannerTask::Impl::requestCheckpoint(PlannedJob &Victim) {
  for (size_t I = 0; I < Victim.Members.size(); ++I) {
    const GangMember &Member = Victim.Members[I];
    if (Member.State != LeaseState::Running || Member.Checkpointed)
      continue;
    this->workerClient().checkpoint(
        Member.Place.Address, Member.Place.Lease, this->CurrentEpoch,
        this->onJob(Victim, [I](PlannedJob &Job,
                                const absl::StatusOr<LeaseReport> &Report) {
          if (Report.ok())
            Job.Members[I].Checkpointed |= Report->Checkpointed;
        }));
  }
}

bool PlannerTask::Impl::isFullyCheckpointed(const PlannedJob &Job) const {
  return std::all_of(
      Job.Members.begin(), Job.Members.end(), [](const GangMember &Member) {
        return Member.Checkpointed || Member.State == LeaseState::Finished;
      });
}

void PlannerTask::Impl::checkReclaims() {
  std::vector<PlannedJob *> Due;
  for (auto &[Id, Job] : this->Jobs)
    if (Job->BeingReclaimed || Job->Phase == JobPhase::Reclaiming)
      Due.push_back(Job.get());
  for (PlannedJob *Job : Due) {
    if (Job->Phase == JobPhase::Reclaiming) {
      this->checkVictims(*Job);
      continue;
    }
    if (Job->Phase != JobPhase::Running)
      continue;
    if (this->now() >= Job->ReclaimDeadline || this->isFullyCheckpointed(*Job))
      this->beginStop(*Job);
    else
      this->requestCheckpoint(*Job);
  }
}

// Starts a guaranteed job once its victims have freed its accelerators.
void PlannerTask::Impl::checkVictims(PlannedJob &Job) {
  if (Job.CancelWanted) {
    this->Workers.release(Job);
    this->enqueue(Job);
    return this->requestSchedulingPass();
  }
  Occupancy &Held = this->Workers.occupancy();
  for (const MemberPlace &P : Job.Promised) {
    if ((Held.usableMask(P.Worker) & P.Mask) != P.Mask) {
      // The worker was lost or is draining: look for other accelerators.
      this->Workers.release(Job);
      this->enqueue(Job);
      return this->requestSchedulingPass();
    }
    if (Held.heldMask(P.Worker) & P.Mask)
      return;
  }
  for (const MemberPlace &P : Job.Promised)
    Held.unreserve(P);
  Job.Promised.clear();
  Job.StartedAt = this->now();
  this->enterPhase(Job, JobPhase::Acquiring);
  this->Workers.place(Job);
  this->acquireLeases(Job);
}

} // namespace vanillayard
