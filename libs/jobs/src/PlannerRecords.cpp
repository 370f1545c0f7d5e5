#include "PlannerImpl.h"

#include "base/ErrorKind.h"

namespace vanillayard {

void PlannerTask::Impl::setStoreAvailable(bool Value) {
  bool Recovered = Value && !this->StoreAvailable;
  this->StoreAvailable = Value;
  if (Recovered)
    this->requestSchedulingPass();
}

void PlannerTask::Impl::listRecords() {
  if (this->ListInProgress)
    return;
  this->ListInProgress = true;
  this->Records.list(
      this->whileActive([this](absl::StatusOr<std::vector<StoredJob>> Listed) {
        this->ListInProgress = false;
        this->setStoreAvailable(Listed.ok());
        this->onListed(std::move(Listed));
      }));
}

void PlannerTask::Impl::onListed(
    absl::StatusOr<std::vector<StoredJob>> Listed) {
  this->LastListSucceeded = Listed.ok();
  if (!Listed.ok())
    return;
  this->EndedJobs.clear();
  for (const StoredJob &Found : *Listed) {
    this->applyRecord(Found);
    absl::Duration Age = this->now() - Found.Record.Submitted;
    if (isTerminal(Found.Record.State) && Age > this->Options.Retention &&
        Found.Record.DataCentre == this->Options.DataCentre)
      this->Records.remove(Found.Record.Id, Found.ModRevision);
  }
  this->requestSchedulingPass();
}

// Applies a record that was read from the store; it may be older than the one
// that the planner knows.
void PlannerTask::Impl::applyRecord(const StoredJob &Found) {
  const JobRecord &Record = Found.Record;
  if (isTerminal(Record.State))
    this->EndedJobs.insert(Record.Id);
  auto Known = this->Jobs.find(Record.Id);
  if (Known != this->Jobs.end())
    return this->applyRecordToJob(*Known->second, Found);
  if (isTerminal(Record.State))
    return;
  if (Record.DataCentre != this->Options.DataCentre)
    return this->takeOverJob(Found);
  if (Record.Placement.empty())
    return this->addQueued(Found);
  this->adoptPlacedJob(Found);
}

void PlannerTask::Impl::applyRecordToJob(PlannedJob &Job,
                                         const StoredJob &Found) {
  if (Found.ModRevision <= Job.ModRevision)
    return;
  // Keep the revision that the write in progress expects, so that this write
  // fails if another planner wrote the record first.
  if (Job.Phase == JobPhase::Acquiring || Job.Phase == JobPhase::Writing)
    return;
  if (isTerminal(Found.Record.State) ||
      Found.Record.DataCentre != this->Options.DataCentre)
    return this->stopAndRemove(Job);
  bool SamePlacement = Job.samePlacement(Found.Record);
  bool OtherPlaced = !Found.Record.Placement.empty() && !SamePlacement;
  if (OtherPlaced) {
    this->stopAndRemove(Job);
    return this->adoptPlacedJob(Found);
  }
  Job.Record = Found.Record;
  Job.ModRevision = Found.ModRevision;
  Job.HasRecord = true;
  if (!Found.Record.CancelRequested || Job.CancelWanted)
    return;
  Job.CancelWanted = true;
  if (Job.Phase == JobPhase::Running)
    this->beginStop(Job);
}

void PlannerTask::Impl::addQueued(const StoredJob &Found) {
  auto Job = std::make_unique<PlannedJob>();
  Job->Record = Found.Record;
  Job->ModRevision = Found.ModRevision;
  Job->CancelWanted = Found.Record.CancelRequested;
  PlannedJob &Added = *Job;
  this->Jobs[Found.Record.Id] = std::move(Job);
  this->enqueue(Added);
  this->requestSchedulingPass();
}

// Adopts a gang that was placed by the planner of another host, or by this host
// when it was the planner before. The first renewal takes over its leases and
// shows which members still run.
void PlannerTask::Impl::adoptPlacedJob(const StoredJob &Found) {
  auto Job = std::make_unique<PlannedJob>();
  Job->Record = Found.Record;
  Job->ModRevision = Found.ModRevision;
  Job->CancelWanted = Found.Record.CancelRequested;
  Job->StartedAt = this->now();
  Job->UnresolvedWritten = Found.Record.State == JobState::Unresolved;
  for (const MemberLease &Place : Found.Record.Placement) {
    GangMember Member;
    Member.Place = Place;
    Member.Mask = PlannedJob::maskOf(Place.Accelerators);
    Member.State = LeaseState::Held;
    Member.RenewedAt = this->now();
    Job->Members.push_back(std::move(Member));
  }
  PlannedJob &Added = *Job;
  this->Jobs[Found.Record.Id] = std::move(Job);
  this->enterPhase(Added, JobPhase::Running);
  this->Workers.holdExisting(Added, Found.Record.Spec.isReclaimable());
  if (Added.CancelWanted)
    this->beginStop(Added);
}

// Takes over a job of a data centre that has been lost for TakeoverDelay. A
// placed job that must not run twice is recorded as unresolved instead, because
// its workers may have run it.
void PlannerTask::Impl::takeOverJob(const StoredJob &Found) {
  auto Lost = this->LostSince.find(Found.Record.DataCentre);
  if (Lost == this->LostSince.end() ||
      this->now() - Lost->second < this->Options.TakeoverDelay)
    return;
  JobRecord Record = Found.Record;
  bool Placed = !Record.Placement.empty();
  if (Placed && !Record.Spec.Repeatable) {
    if (Record.State == JobState::Unresolved)
      return;
    Record.State = JobState::Unresolved;
    Record.MayHaveRun = true;
    Record.Detail = "the data centre of the job is lost";
  } else {
    Record.State = JobState::Queued;
    Record.DataCentre = this->Options.DataCentre;
    Record.MayHaveRun = Record.MayHaveRun || Placed;
    Record.Placement.clear();
  }
  this->Records.update(
      Record, Found.ModRevision,
      this->whileActive([this](const absl::StatusOr<JobUpdate> &Result) {
        if (Result.ok() && Result->Applied)
          this->applyRecord(Result->Current);
      }));
}

void PlannerTask::Impl::onJobChange(const JobChange &Notice) {
  if (!this->Active || Notice.DataCentre != this->Options.DataCentre)
    return;
  this->Notices.push_back(Notice);
  if (this->NoticesPosted)
    return;
  this->NoticesPosted = true;
  this->Options.Exec->post(
      this->whileActive([this] { this->processNotices(); }));
}

// Processes notifications in batches, so that many cancellations at once do not
// delay other work.
void PlannerTask::Impl::processNotices() {
  this->NoticesPosted = false;
  if (!this->Started) {
    // The first listing is in progress; the changed records are read after it.
    this->NoticesPosted = true;
    this->Options.Exec->runAfter(
        absl::Milliseconds(100),
        this->whileActive([this] { this->processNotices(); }));
    return;
  }
  for (size_t I = 0; I < MaxNoticesPerBatch && !this->Notices.empty(); ++I) {
    JobChange Notice = std::move(this->Notices.front());
    this->Notices.pop_front();
    this->processNotice(Notice);
  }
  if (this->Notices.empty())
    return;
  this->NoticesPosted = true;
  this->Options.Exec->post(
      this->whileActive([this] { this->processNotices(); }));
}

void PlannerTask::Impl::processNotice(const JobChange &Notice) {
  auto Known = this->Jobs.find(Notice.Job);
  bool IsQueued =
      Known != this->Jobs.end() && Known->second->Phase == JobPhase::Queued;
  if (isTerminal(Notice.State)) {
    this->EndedJobs.insert(Notice.Job);
    // Takes constant time and reads no record, because mass cancellations are
    // of queued jobs.
    if (IsQueued)
      this->removeJob(*Known->second);
    else if (Known != this->Jobs.end() &&
             Notice.ModRevision > Known->second->ModRevision)
      Known->second->CancelWanted = true;
  }
  if (isTerminal(Notice.State) && (IsQueued || Known == this->Jobs.end()))
    return;
  this->Records.get(
      Notice.Job,
      this->whileActive([this](const absl::StatusOr<StoredJob> &Found) {
        bool Answers =
            Found.ok() || errorKindOf(Found.status()) == ErrorKind::NotFound;
        this->setStoreAvailable(Answers);
        if (Found.ok())
          this->applyRecord(*Found);
      }));
}

// Queries all workers for orphaned leases, which belong to no known gang. A
// lease that is found orphaned twice, with a listing of the records in between,
// is released, after a stop if its member may still run.
void PlannerTask::Impl::sweepOrphanedLeases() {
  if (!this->LastListSucceeded)
    return;
  std::erase_if(this->OrphanedLeases, [this](const auto &Entry) {
    return this->now() - Entry.second > 10 * this->Options.ListInterval;
  });
  for (const PlannerWorker *W : this->Workers.listedWorkers())
    this->workerClient().status(
        W->Address,
        this->whileActive(
            [this, Worker = *W](const absl::StatusOr<WorkerStatus> &Status) {
              if (Status.ok())
                this->onSweepStatus(Worker, *Status);
            }));
}

void PlannerTask::Impl::onSweepStatus(const PlannerWorker &Worker,
                                      const WorkerStatus &Status) {
  this->updateHighestTerm(Status);
  for (const LeaseReport &Lease : Status.Leases) {
    if (Lease.Owner.compare(0, JobRecord::IdPrefix.size(),
                            JobRecord::IdPrefix) != 0)
      continue;
    JobId Id(Lease.Owner);
    auto Known = this->Jobs.find(Id);
    bool IsMember = Known != this->Jobs.end() &&
                    std::any_of(Known->second->Members.begin(),
                                Known->second->Members.end(),
                                [&Lease](const GangMember &Member) {
                                  return Member.Place.Lease == Lease.Lease;
                                });
    bool MayBeNew = Known == this->Jobs.end() && !this->EndedJobs.contains(Id);
    if (IsMember || MayBeNew)
      continue;
    auto [Seen, New] =
        this->OrphanedLeases.try_emplace(Lease.Lease, this->now());
    if (New || this->now() - Seen->second < this->Options.ListInterval / 2)
      continue;
    if (Lease.State == LeaseState::Held || Lease.State == LeaseState::Running)
      this->workerClient().stop(Worker.Address, Lease.Lease, this->CurrentEpoch,
                                [](const auto &) {});
    this->workerClient().release(Worker.Address, Lease.Lease,
                                 [](const auto &) {});
  }
}

} // namespace vanillayard
