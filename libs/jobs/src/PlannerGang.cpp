#include "PlannerImpl.h"

#include "base/ErrorKind.h"

#include <algorithm>

namespace vanillayard {

void PlannerTask::Impl::acquireLeases(PlannedJob &Job) {
  this->acquireLease(Job, 0);
}

// Acquires the leases one by one, in ascending order of worker id, so that two
// planners or gangs that need the same workers conflict on the first one.
void PlannerTask::Impl::acquireLease(PlannedJob &Job, size_t Index) {
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
  Request.Holder = this->CurrentEpoch;
  Request.GangSize = Spec.Shape.Members;
  Request.Member = static_cast<int>(Index);
  Request.Reclaimable = Job.HeldReclaimable;
  Member.RenewedAt = this->now();
  this->workerClient().acquire(
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
    return this->abortAcquisition(Job);
  Member.State = LeaseState::Held;
  Member.Confirmed = true;
  this->acquireLease(Job, Index + 1);
}

void PlannerTask::Impl::releaseLeases(const PlannedJob &Job) {
  for (const GangMember &Member : Job.Members)
    this->workerClient().release(Member.Place.Address, Member.Place.Lease,
                                 [](const auto &) {});
}

// Releases the leases and queues the job again. No member has started. A lease
// whose grant was not received is released too, or expires.
void PlannerTask::Impl::abortAcquisition(PlannedJob &Job) {
  this->releaseLeases(Job);
  this->Workers.release(Job);
  this->enqueue(Job);
  this->backOff(Job);
  this->requestSchedulingPass();
}

void PlannerTask::Impl::writePlacement(PlannedJob &Job) {
  if (!this->StoreAvailable && Job.Record.Spec.Repeatable)
    return this->startMembers(Job);
  this->enterPhase(Job, JobPhase::Writing);
  JobRecord Record = Job.Record;
  Record.State = JobState::Placed;
  Record.DataCentre = this->Options.DataCentre;
  Record.PlannerEpoch = this->CurrentEpoch;
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
      return this->removeJob(Job);
    }
    this->setStoreAvailable(false);
    // The write may still take effect later, so only a repeatable job may
    // start.
    if (Job.Record.Spec.Repeatable)
      return this->startMembers(Job);
    return this->abortAcquisition(Job);
  }
  this->setStoreAvailable(true);
  if (!Result->Applied) {
    this->abortAcquisition(Job);
    return this->applyRecordToJob(Job, Result->Current);
  }
  Job.Record = std::move(Result->Current.Record);
  Job.ModRevision = Result->Current.ModRevision;
  this->startMembers(Job);
}

// Starts the members after all leases were acquired. Stops the gang instead if
// a lease is about to expire, because then only a part of the gang could start.
void PlannerTask::Impl::startMembers(PlannedJob &Job) {
  this->enterPhase(Job, JobPhase::Running);
  this->reportEvent("start", Job);
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
  this->workerClient().start(
      Member.Place.Address, Member.Place.Lease, this->CurrentEpoch,
      Job.Record.Spec.Body,
      this->onJob(Job, [this, Index](PlannedJob &Found,
                                     const absl::StatusOr<LeaseReport> &R) {
        GangMember &M = Found.Members[Index];
        if (R.ok())
          M.State = R->State;
        else if (errorKindOf(R.status()) == ErrorKind::Conflict)
          M.Lost = true;
        else
          // The next renewal shows whether the member started.
          M.StartSent = false;
        this->evaluateGang(Found);
      }));
}

// Decides, after a change of a member, whether the running gang is stopped and
// which members are still to be started.
void PlannerTask::Impl::evaluateGang(PlannedJob &Job) {
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
  // Start the members that are placed but not started, because a previous
  // planner failed in between.
  if (!AllConfirmed || !Job.HasRecord)
    return;
  for (size_t I = 0; I < Job.Members.size(); ++I)
    if (Job.Members[I].State == LeaseState::Held && !Job.Members[I].StartSent)
      this->startMember(Job, I);
}

} // namespace vanillayard
