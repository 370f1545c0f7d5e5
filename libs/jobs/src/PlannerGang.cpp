#include "PlannerImpl.h"

#include "base/ErrorKind.h"

#include <algorithm>

namespace vanillayard {

void PlannerTask::Impl::beginAcquire(PlannedJob &Job) {
  this->acquireNext(Job, 0);
}

// One after the other, in ascending order of worker id: two planners or gangs
// that need the same workers meet on the first one.
void PlannerTask::Impl::acquireNext(PlannedJob &Job, size_t Index) {
  if (Index == Job.Members.size())
    return this->writePlacement(Job);
  GangMember &Member = Job.Members[Index];
  const JobSpec &Spec = Job.Record.Spec;
  LeaseRequest Request;
  Request.Lease = Member.Place.Lease;
  Request.Owner = Job.Record.Id.str();
  Request.Account = Spec.Account;
  Request.Kind = Spec.Kind;
  Request.Accelerators = Member.Place.Accelerators;
  Request.Ttl = this->renewTtl();
  Request.Holder = this->Current;
  Request.GangSize = Spec.Shape.Members;
  Request.Member = static_cast<int>(Index);
  Request.Reclaimable = Job.HeldReclaimable;
  Member.RenewedAt = this->now();
  this->workers().acquire(
      Member.Place.Address, Request,
      this->onJob(Job, [this, Index](PlannedJob &Found,
                                     const absl::StatusOr<LeaseReport> &R) {
        this->onAcquired(Found, Index, R);
      }));
}

void PlannerTask::Impl::onAcquired(PlannedJob &Job, size_t Index,
                                   const absl::StatusOr<LeaseReport> &Report) {
  GangMember &Member = Job.Members[Index];
  if (!Report.ok() || Report->State != LeaseState::Held || Job.CancelWanted)
    return this->giveUpAcquire(Job);
  Member.State = LeaseState::Held;
  Member.Confirmed = true;
  this->acquireNext(Job, Index + 1);
}

void PlannerTask::Impl::releaseLeases(const PlannedJob &Job) {
  for (const GangMember &Member : Job.Members)
    this->workers().release(Member.Place.Address, Member.Place.Lease,
                            [](const auto &) {});
}

// Nothing has started. A lease whose answer was lost is released too, or
// expires.
void PlannerTask::Impl::giveUpAcquire(PlannedJob &Job) {
  this->releaseLeases(Job);
  this->Workers.release(Job);
  this->enqueue(Job);
  this->backOff(Job);
  this->markDirty();
}

void PlannerTask::Impl::writePlacement(PlannedJob &Job) {
  if (!this->StoreAnswers && Job.Record.Spec.Repeatable)
    return this->startMembers(Job);
  this->enter(Job, JobPhase::Writing);
  JobRecord Record = Job.Record;
  Record.State = JobState::Placed;
  Record.DataCentre = this->Options.DataCentre;
  Record.Planner = this->Current;
  Record.Placement = Job.placement();
  ++Record.Attempts;
  this->Records.update(
      Record, Job.ModRevision,
      this->onJob(Job,
                  [this](PlannedJob &Found, absl::StatusOr<JobUpdate> Result) {
                    this->onPlacementWritten(Found, std::move(Result));
                  }));
}

void PlannerTask::Impl::onPlacementWritten(PlannedJob &Job,
                                           absl::StatusOr<JobUpdate> Result) {
  if (!Result.ok()) {
    if (errorKindOf(Result.status()) == ErrorKind::NotFound) {
      this->releaseLeases(Job);
      return this->remove(Job);
    }
    this->noteStore(false);
    // The write may take effect later; only repeatable jobs may start.
    if (Job.Record.Spec.Repeatable)
      return this->startMembers(Job);
    return this->giveUpAcquire(Job);
  }
  this->noteStore(true);
  if (!Result->Applied) {
    this->giveUpAcquire(Job);
    return this->absorbKnown(Job, Result->Now);
  }
  Job.Record = std::move(Result->Now.Record);
  Job.ModRevision = Result->Now.ModRevision;
  this->startMembers(Job);
}

// All leases are held. They must not be about to expire, or a part of the
// gang could start alone.
void PlannerTask::Impl::startMembers(PlannedJob &Job) {
  this->enter(Job, JobPhase::Running);
  this->tell("start", Job);
  Job.StartedAt = this->now();
  bool TooOld = this->now() - Job.oldestRenewal() > this->renewTtl() / 2;
  if (TooOld || Job.CancelWanted)
    return this->beginStop(Job);
  for (size_t I = 0; I < Job.Members.size(); ++I)
    this->startMember(Job, I);
}

void PlannerTask::Impl::startMember(PlannedJob &Job, size_t Index) {
  GangMember &Member = Job.Members[Index];
  Member.StartSent = true;
  this->workers().start(
      Member.Place.Address, Member.Place.Lease, this->Current,
      Job.Record.Spec.Body,
      this->onJob(Job, [this, Index](PlannedJob &Found,
                                     const absl::StatusOr<LeaseReport> &R) {
        GangMember &M = Found.Members[Index];
        if (R.ok())
          M.State = R->State;
        else if (errorKindOf(R.status()) == ErrorKind::Conflict)
          M.Lost = true;
        else
          // The next renewal tells whether it started.
          M.StartSent = false;
        this->evaluate(Found);
      }));
}

// Decides what is next for a running gang after news of a member.
void PlannerTask::Impl::evaluate(PlannedJob &Job) {
  if (Job.Phase != JobPhase::Running)
    return;
  bool Lost = Job.CancelWanted;
  bool AllFinished = true;
  bool AllConfirmed = true;
  for (const GangMember &Member : Job.Members) {
    bool Expected = Member.State == LeaseState::Held ||
                    Member.State == LeaseState::Running ||
                    Member.State == LeaseState::Finished;
    Lost = Lost || Member.Lost || !Expected;
    AllFinished = AllFinished && Member.State == LeaseState::Finished;
    AllConfirmed = AllConfirmed && Member.Confirmed;
  }
  // Stopping a finished gang collects its results.
  if (Lost || AllFinished)
    return this->beginStop(Job);
  // A planner that died between placement and start left members unstarted.
  if (!AllConfirmed || !Job.HasRecord)
    return;
  for (size_t I = 0; I < Job.Members.size(); ++I)
    if (Job.Members[I].State == LeaseState::Held && !Job.Members[I].StartSent)
      this->startMember(Job, I);
}

} // namespace vanillayard
