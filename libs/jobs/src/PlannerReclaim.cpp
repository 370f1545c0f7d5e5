#include "PlannerImpl.h"

#include <algorithm>

namespace vanillayard {

/// Share of its speed that a victim keeps while it writes its checkpoint.
static constexpr double ThrottledShare = 0.25;

void PlannerTask::Impl::reclaimFor(PlannedJob &Job,
                                   const std::vector<int> &Victims) {
  this->enter(Job, JobPhase::Reclaiming);
  for (const MemberPlace &P : Job.Promised)
    this->Workers.occupancy().promise(P);
  for (auto &[Id, Victim] : this->Jobs) {
    if (Victim->Holder < 0 || std::find(Victims.begin(), Victims.end(),
                                        Victim->Holder) == Victims.end())
      continue;
    Job.Victims.push_back(Id);
    this->reclaim(*Victim);
  }
}

// Whole gangs: checkpoint, at reduced speed, for the grace period; then stop.
void PlannerTask::Impl::reclaim(PlannedJob &Victim) {
  if (Victim.Reclaimed)
    return;
  Victim.Reclaimed = true;
  this->tell("reclaim", Victim);
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
      this->workers().throttle(Member.Place.Address, Member.Place.Lease,
                               this->Current, ThrottledShare,
                               [](const auto &) {});
}

void PlannerTask::Impl::requestCheckpoint(PlannedJob &Victim) {
  for (size_t I = 0; I < Victim.Members.size(); ++I) {
    const GangMember &Member = Victim.Members[I];
    if (Member.State != LeaseState::Running || Member.Checkpointed)
      continue;
    this->workers().checkpoint(
        Member.Place.Address, Member.Place.Lease, this->Current,
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
    if (Job->Reclaimed || Job->Phase == JobPhase::Reclaiming)
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

// Starts a guaranteed job once its accelerators are free.
void PlannerTask::Impl::checkVictims(PlannedJob &Job) {
  if (Job.CancelWanted) {
    this->Workers.release(Job);
    this->enqueue(Job);
    return this->markDirty();
  }
  Occupancy &Held = this->Workers.occupancy();
  for (const MemberPlace &P : Job.Promised) {
    if ((Held.usableMask(P.Worker) & P.Mask) != P.Mask) {
      // The worker was lost or is leaving: look for other places.
      this->Workers.release(Job);
      this->enqueue(Job);
      return this->markDirty();
    }
    if (Held.heldMask(P.Worker) & P.Mask)
      return;
  }
  for (const MemberPlace &P : Job.Promised)
    Held.unpromise(P);
  Job.Promised.clear();
  Job.StartedAt = this->now();
  this->enter(Job, JobPhase::Acquiring);
  this->Workers.place(Job);
  this->beginAcquire(Job);
}

} // namespace vanillayard
