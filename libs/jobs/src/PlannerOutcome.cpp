#include "PlannerImpl.h"

#include "base/ErrorKind.h"

#include <algorithm>

namespace vanillayard {

// Stops all members at the same time and determines the outcome of each.
void PlannerTask::Impl::beginStop(PlannedJob &Job) {
  this->enterPhase(Job, JobPhase::Stopping);
  this->reportEvent("stop", Job);
  Job.StopStartedAt = this->now();
  auto Check = [this](PlannedJob &Found, int) { this->checkStop(Found); };
  // Posted, because the check may destroy the stopper that calls.
  auto Changed = this->whileActive([this, Checked = this->onJob(Job, Check)] {
    this->Options.Exec->post([Checked] { Checked(0); });
  });
  Job.Stopper = std::make_unique<GangStopper>(
      *this->Options.Exec, this->workerClient(), this->CurrentEpoch,
      Job.placement(), Changed);
  this->Options.Exec->runAfter(this->Options.LeaseTtl, Changed);
  Job.Stopper->start();
}

void PlannerTask::Impl::checkStop(PlannedJob &Job) {
  if (Job.Stopper->isSuperseded())
    return this->onSuperseded(Job);
  if (Job.Stopper->isComplete())
    return this->concludeStop(Job);
  if (this->now() - Job.StopStartedAt < this->Options.LeaseTtl)
    return;
  // The leases have expired by the workers' clocks, so no member runs any more.
  if (Job.HasRecord && Job.Record.Spec.Repeatable) {
    Job.Stopper->resolvePending(MemberOutcome::Stopped);
    return this->concludeStop(Job);
  }
  this->Workers.release(Job);
  this->writeUnresolved(Job);
  bool Gone = this->now() - Job.StopStartedAt > ResolveTimeout;
  for (const GangStopper::Entry &E : Job.Stopper->entries())
    if (E.Outcome == MemberOutcome::Pending)
      Gone = Gone && !this->Workers.isListed(E.Place.Worker);
  if (!Gone)
    return;
  Job.Stopper->resolvePending(MemberOutcome::Unknown);
  this->concludeStop(Job);
}

void PlannerTask::Impl::writeUnresolved(PlannedJob &Job) {
  if (Job.UnresolvedWritten || !Job.HasRecord)
    return;
  Job.UnresolvedWritten = true;
  JobRecord Record = Job.Record;
  Record.State = JobState::Unresolved;
  Record.MayHaveRun = true;
  Record.Detail = "a worker that may have run a member does not answer";
  this->Records.update(
      Record, Job.ModRevision,
      this->onJob(Job, [this](PlannedJob &Found,
                              const absl::StatusOr<JobUpdate> &Result) {
        if (!Result.ok())
          Found.UnresolvedWritten = false;
        else
          this->applyRecordToJob(Found, Result->Current);
      }));
}

// Reads the record of a gang that was adopted without one. The record decides
// how the job continues.
void PlannerTask::Impl::readRecord(PlannedJob &Job) {
  auto Then = [this](PlannedJob &Found, const absl::StatusOr<StoredJob> &Read) {
    this->setStoreAvailable(Read.ok());
    if (Read.ok() && Found.samePlacement(Read->Record)) {
      Found.HasRecord = true;
      Found.Record = Read->Record;
      Found.ModRevision = Read->ModRevision;
      return this->concludeStop(Found);
    }
    if (Read.ok() && Read->Record.Placement.empty() &&
        !isTerminal(Read->Record.State)) {
      // Another planner started the gang while the store was down, so the
      // record has no placement.
      Found.HasRecord = true;
      Found.Record = Read->Record;
      Found.ModRevision = Read->ModRevision;
      return this->concludeStop(Found);
    }
    if (Read.ok())
      return this->stopAndRemove(Found);
    this->Options.Exec->runAfter(
        StoreRetryInterval,
        [Again = this->onJob(Found, [this](PlannedJob &J, int) {
          this->readRecord(J);
        })] { Again(0); });
  };
  this->Records.get(Job.Record.Id, this->onJob(Job, Then));
}

void PlannerTask::Impl::concludeStop(PlannedJob &Job) {
  if (!Job.HasRecord)
    return this->readRecord(Job);
  const GangStopper &Outcomes = *Job.Stopper;
  if (Outcomes.allMembers(MemberOutcome::Finished)) {
    std::vector<std::string> Results;
    for (const GangStopper::Entry &E : Outcomes.entries())
      Results.push_back(E.Result);
    return this->finishWithResults(Job, std::move(Results));
  }
  bool NeverStarted = Outcomes.allMembers(MemberOutcome::NeverStarted);
  Job.Record.MayHaveRun = Job.Record.MayHaveRun || !NeverStarted;
  if (Job.CancelWanted)
    return this->recordOutcome(Job, JobState::Cancelled,
                               NeverStarted ? "cancelled before the start"
                                            : "cancelled while running",
                               Job.Record.MayHaveRun);
  if (NeverStarted)
    return this->requeue(Job);
  bool Repeatable = Job.Record.Spec.Repeatable;
  if (Outcomes.anyMember(MemberOutcome::Failed)) {
    for (const GangStopper::Entry &E : Outcomes.entries())
      if (E.Outcome == MemberOutcome::Failed)
        Job.FailedWorkers.insert(E.Place.Worker);
    ++Job.Record.Failures;
    if (Repeatable && Job.Record.Failures < this->Options.MaxFailures)
      return this->requeue(Job);
    return this->recordOutcome(Job, JobState::Failed, "a member failed", true);
  }
  bool Resumable = Job.BeingReclaimed && Job.Record.Spec.Checkpointable &&
                   this->isFullyCheckpointed(Job);
  if (Repeatable || Resumable)
    return this->requeue(Job);
  this->recordOutcome(Job, JobState::OutcomeUnknown,
                      "a member was lost while it may have run", true);
}

void PlannerTask::Impl::finishWithResults(PlannedJob &Job,
                                          std::vector<std::string> Results) {
  const JobSpec &Spec = Job.Record.Spec;
  this->Correction.learn(Spec.Account, Spec.Kind, Spec.DeclaredRunTime,
                         this->now() - Job.StartedAt);
  Job.Record.Results = std::move(Results);
  Job.Record.ResultsOmitted =
      Job.Record.encode().size() > JobRecord::MaxRecordBytes;
  if (Job.Record.ResultsOmitted)
    Job.Record.Results.clear();
  this->recordOutcome(Job, JobState::Finished, "", true);
}

void PlannerTask::Impl::recordOutcome(PlannedJob &Job, JobState State,
                                      std::string Detail, bool MayHaveRun) {
  this->Queue.remove(Job);
  this->Workers.release(Job);
  this->enterPhase(Job, JobPhase::Recording);
  Job.Record.State = State;
  Job.Record.Detail = std::move(Detail);
  Job.Record.MayHaveRun = MayHaveRun;
  this->reportEvent(JobStateNames.nameOf(State), Job);
  this->requestSchedulingPass();
  this->writeOutcome(Job);
}

void PlannerTask::Impl::writeOutcome(PlannedJob &Job) {
  this->Records.update(
      Job.Record, Job.ModRevision,
      this->onJob(Job,
                  [this](PlannedJob &Found, absl::StatusOr<JobUpdate> Result) {
                    this->onOutcomeWritten(Found, std::move(Result));
                  }));
}

void PlannerTask::Impl::onOutcomeWritten(PlannedJob &Job,
                                         absl::StatusOr<JobUpdate> Result) {
  if (!Result.ok() && errorKindOf(Result.status()) != ErrorKind::NotFound) {
    this->setStoreAvailable(false);
    this->Options.Exec->runAfter(
        StoreRetryInterval,
        [Again = this->onJob(Job, [this](PlannedJob &J, int) {
          this->writeOutcome(J);
        })] { Again(0); });
    return;
  }
  this->setStoreAvailable(true);
  bool Ended = !Result.ok() || Result->Applied ||
               isTerminal(Result->Current.Record.State);
  if (!Ended) {
    const JobRecord &Found = Result->Current.Record;
    bool Ours = Found.DataCentre == this->Options.DataCentre &&
                (Found.Placement.empty() || Job.samePlacement(Found));
    // A complete result is recorded even if another planner has placed the job
    // since.
    if (Ours || Job.Record.State == JobState::Finished) {
      Job.ModRevision = Result->Current.ModRevision;
      Job.Record.CancelRequested = Found.CancelRequested;
      return this->writeOutcome(Job);
    }
  }
  this->EndedJobs.insert(Job.Record.Id);
  this->releaseLeases(Job);
  this->removeJob(Job);
  if (!Ended) {
    this->EndedJobs.erase(Result->Current.Record.Id);
    this->applyRecord(Result->Current);
  }
}

// Queues the job again. The leases are released after the record is written,
// because they prove the outcome of the members to another planner.
void PlannerTask::Impl::requeue(PlannedJob &Job) {
  this->Workers.release(Job);
  Job.Record.State = JobState::Queued;
  Job.Record.Placement.clear();
  this->backOff(Job);
  auto Then = [this](PlannedJob &Found, absl::StatusOr<JobUpdate> Result) {
    this->setStoreAvailable(Result.ok());
    if (Result.ok() || Found.Record.Spec.Repeatable)
      this->releaseLeases(Found);
    this->enqueue(Found);
    this->requestSchedulingPass();
    if (!Result.ok())
      return;
    if (!Result->Applied)
      return this->applyRecordToJob(Found, Result->Current);
    Found.ModRevision = Result->Current.ModRevision;
  };
  this->enterPhase(Job, JobPhase::Recording);
  this->Records.update(Job.Record, Job.ModRevision, this->onJob(Job, Then));
}

// Another planner has taken over the gang. Removes the job here without
// stopping the gang; if this planner stays active, it lists the records again
// later, with a higher term.
void PlannerTask::Impl::onSuperseded(PlannedJob &Job) {
  static constexpr absl::Duration MinDelay = absl::Seconds(3);
  std::uniform_real_distribution<double> Jitter(0, 1);
  this->removeJob(Job);
  this->Options.Exec->runAfter(
      MinDelay * (1 + Jitter(this->Random)), this->whileActive([this] {
        this->CurrentEpoch.Term =
            std::max({this->CurrentEpoch.Term, this->HighestTerm + 1,
                      absl::ToUnixMillis(this->now())});
        this->listRecords();
      }));
}

// Stops a gang whose record shows that it must not continue.
void PlannerTask::Impl::stopAndRemove(PlannedJob &Job) {
  for (const GangMember &Member : Job.Members) {
    auto Release =
        this->whileActive([this, Place = Member.Place](const auto &) {
          this->workerClient().release(Place.Address, Place.Lease,
                                       [](const auto &) {});
        });
    this->workerClient().stop(Member.Place.Address, Member.Place.Lease,
                              this->CurrentEpoch, Release);
  }
  this->removeJob(Job);
}

void PlannerTask::Impl::removeJob(PlannedJob &Job) {
  this->Queue.remove(Job);
  this->Workers.release(Job);
  this->Jobs.erase(Job.Record.Id);
  this->requestSchedulingPass();
}

} // namespace vanillayard
