#include "PlannerImpl.h"

#include "base/ErrorKind.h"

#include <algorithm>

namespace vanillayard {

// Stops all members at once and finds out what became of each.
void PlannerTask::Impl::beginStop(PlannedJob &Job) {
  this->enter(Job, JobPhase::Stopping);
  this->tell("stop", Job);
  Job.StopSince = this->now();
  auto Check = [this](PlannedJob &Found, int) { this->checkStop(Found); };
  // Posted, because the check may destroy the stopper that calls.
  auto Changed = this->whileActive([this, Checked = this->onJob(Job, Check)] {
    this->Options.Exec->post([Checked] { Checked(0); });
  });
  Job.Stopper =
      std::make_unique<GangStopper>(*this->Options.Exec, this->workers(),
                                    this->Current, Job.placement(), Changed);
  this->Options.Exec->runAfter(this->Options.LeaseTtl, Changed);
  Job.Stopper->start();
}

void PlannerTask::Impl::checkStop(PlannedJob &Job) {
  if (Job.Stopper->isSuperseded())
    return this->drop(Job);
  if (Job.Stopper->isComplete())
    return this->concludeStop(Job);
  if (this->now() - Job.StopSince < this->Options.LeaseTtl)
    return;
  // The leases have ended by the workers' clocks, so nothing runs any more.
  if (Job.HasRecord && Job.Record.Spec.Repeatable) {
    Job.Stopper->closeOpen(MemberFact::Ended);
    return this->concludeStop(Job);
  }
  this->Workers.release(Job);
  this->writeUnresolved(Job);
  bool Gone = this->now() - Job.StopSince > ResolveLimit;
  for (const GangStopper::Entry &E : Job.Stopper->entries())
    if (E.Fact == MemberFact::Open)
      Gone = Gone && !this->Workers.isListed(E.Place.Worker);
  if (!Gone)
    return;
  Job.Stopper->closeOpen(MemberFact::Forgotten);
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
          this->absorbKnown(Found, Result->Now);
      }));
}

// The record decides what may happen next; it may have been unreadable so far.
void PlannerTask::Impl::readRecord(PlannedJob &Job) {
  auto Then = [this](PlannedJob &Found, const absl::StatusOr<StoredJob> &Read) {
    this->noteStore(Read.ok());
    if (Read.ok() && Found.samePlacement(Read->Record)) {
      Found.HasRecord = true;
      Found.Record = Read->Record;
      Found.ModRevision = Read->ModRevision;
      return this->concludeStop(Found);
    }
    if (Read.ok() && Read->Record.Placement.empty() &&
        !isTerminal(Read->Record.State)) {
      // Started by another planner while the store was down.
      Found.HasRecord = true;
      Found.Record = Read->Record;
      Found.ModRevision = Read->ModRevision;
      return this->concludeStop(Found);
    }
    if (Read.ok())
      return this->abandon(Found);
    this->Options.Exec->runAfter(
        StoreRetry, [Again = this->onJob(Found, [this](PlannedJob &J, int) {
          this->readRecord(J);
        })] { Again(0); });
  };
  this->Records.get(Job.Record.Id, this->onJob(Job, Then));
}

void PlannerTask::Impl::concludeStop(PlannedJob &Job) {
  if (!Job.HasRecord)
    return this->readRecord(Job);
  const GangStopper &Facts = *Job.Stopper;
  if (Facts.all(MemberFact::Finished)) {
    std::vector<std::string> Results;
    for (const GangStopper::Entry &E : Facts.entries())
      Results.push_back(E.Result);
    return this->finishWithResults(Job, std::move(Results));
  }
  bool NeverStarted = Facts.all(MemberFact::NeverStarted);
  Job.Record.MayHaveRun = Job.Record.MayHaveRun || !NeverStarted;
  if (Job.CancelWanted)
    return this->recordOutcome(Job, JobState::Cancelled,
                               NeverStarted ? "cancelled before the start"
                                            : "cancelled while running",
                               Job.Record.MayHaveRun);
  if (NeverStarted)
    return this->requeue(Job);
  bool Repeatable = Job.Record.Spec.Repeatable;
  if (Facts.any(MemberFact::Failed)) {
    for (const GangStopper::Entry &E : Facts.entries())
      if (E.Fact == MemberFact::Failed)
        Job.Avoid.insert(E.Place.Worker);
    ++Job.Record.Failures;
    if (Repeatable && Job.Record.Failures < this->Options.MaxFailures)
      return this->requeue(Job);
    return this->recordOutcome(Job, JobState::Failed, "a member failed", true);
  }
  bool Resumable = Job.Reclaimed && Job.Record.Spec.Checkpointable &&
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
  size_t Bytes = 0;
  for (const std::string &Result : Results)
    Bytes += Result.size();
  Job.Record.ResultsOmitted = Bytes > JobRecord::MaxResultBytes;
  if (!Job.Record.ResultsOmitted)
    Job.Record.Results = std::move(Results);
  this->recordOutcome(Job, JobState::Finished, "", true);
}

void PlannerTask::Impl::recordOutcome(PlannedJob &Job, JobState State,
                                      std::string Detail, bool MayHaveRun) {
  this->Queue.remove(Job);
  this->Workers.release(Job);
  this->enter(Job, JobPhase::Recording);
  Job.Record.State = State;
  Job.Record.Detail = std::move(Detail);
  Job.Record.MayHaveRun = MayHaveRun;
  this->tell(JobStateNames.nameOf(State), Job);
  this->markDirty();
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
    this->noteStore(false);
    this->Options.Exec->runAfter(
        StoreRetry, [Again = this->onJob(Job, [this](PlannedJob &J, int) {
          this->writeOutcome(J);
        })] { Again(0); });
    return;
  }
  this->noteStore(true);
  bool Ended =
      !Result.ok() || Result->Applied || isTerminal(Result->Now.Record.State);
  if (!Ended) {
    const JobRecord &Found = Result->Now.Record;
    bool Ours = Found.DataCentre == this->Options.DataCentre &&
                (Found.Placement.empty() || Job.samePlacement(Found));
    // A complete result counts whoever placed the job since.
    if (Ours || Job.Record.State == JobState::Finished) {
      Job.ModRevision = Result->Now.ModRevision;
      Job.Record.CancelRequested = Found.CancelRequested;
      return this->writeOutcome(Job);
    }
  }
  this->EndedJobs.insert(Job.Record.Id);
  this->releaseLeases(Job);
  this->remove(Job);
  if (!Ended) {
    this->EndedJobs.erase(Result->Now.Record.Id);
    this->absorb(Result->Now);
  }
}

// Back to the queue. The leases are released after the record is written: they
// prove to another planner what became of the members.
void PlannerTask::Impl::requeue(PlannedJob &Job) {
  this->Workers.release(Job);
  Job.Record.State = JobState::Queued;
  Job.Record.Placement.clear();
  this->backOff(Job);
  auto Then = [this](PlannedJob &Found, absl::StatusOr<JobUpdate> Result) {
    this->noteStore(Result.ok());
    if (Result.ok() || Found.Record.Spec.Repeatable)
      this->releaseLeases(Found);
    this->enqueue(Found);
    this->markDirty();
    if (!Result.ok())
      return;
    if (!Result->Applied)
      return this->absorbKnown(Found, Result->Now);
    Found.ModRevision = Result->Now.ModRevision;
  };
  this->enter(Job, JobPhase::Recording);
  this->Records.update(Job.Record, Job.ModRevision, this->onJob(Job, Then));
}

// Another planner has taken the gang over. It is left alone; if this planner
// stays active, it looks again later.
void PlannerTask::Impl::drop(PlannedJob &Job) {
  static constexpr absl::Duration Least = absl::Seconds(3);
  std::uniform_real_distribution<double> Share(0, 1);
  this->remove(Job);
  this->Options.Exec->runAfter(
      Least * (1 + Share(this->Random)), this->whileActive([this] {
        this->Current.Term =
            std::max({this->Current.Term, this->HighestTerm + 1,
                      absl::ToUnixMillis(this->now())});
        this->list();
      }));
}

// The record says that this gang must not go on.
void PlannerTask::Impl::abandon(PlannedJob &Job) {
  for (const GangMember &Member : Job.Members) {
    auto Release = this->whileActive([this,
                                      Place = Member.Place](const auto &) {
      this->workers().release(Place.Address, Place.Lease, [](const auto &) {});
    });
    this->workers().stop(Member.Place.Address, Member.Place.Lease,
                         this->Current, Release);
  }
  this->remove(Job);
}

void PlannerTask::Impl::remove(PlannedJob &Job) {
  this->Queue.remove(Job);
  this->Workers.release(Job);
  this->Jobs.erase(Job.Record.Id);
  this->markDirty();
}

} // namespace vanillayard
