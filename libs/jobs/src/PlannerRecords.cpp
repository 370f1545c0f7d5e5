#include "PlannerImpl.h"

#include "base/ErrorKind.h"

namespace vanillayard {

void PlannerTask::Impl::noteStore(bool Answers) {
  bool Back = Answers && !this->StoreAnswers;
  this->StoreAnswers = Answers;
  if (Back)
    this->markDirty();
}

void PlannerTask::Impl::list() {
  if (this->ListOpen)
    return;
  this->ListOpen = true;
  this->Records.list(
      this->whileActive([this](absl::StatusOr<std::vector<StoredJob>> Listed) {
        this->ListOpen = false;
        this->noteStore(Listed.ok());
        this->onListed(std::move(Listed));
      }));
}

void PlannerTask::Impl::onListed(
    absl::StatusOr<std::vector<StoredJob>> Listed) {
  this->ListIsFresh = Listed.ok();
  if (!Listed.ok())
    return;
  this->EndedJobs.clear();
  for (const StoredJob &Found : *Listed) {
    this->absorb(Found);
    absl::Duration Age = this->now() - Found.Record.Submitted;
    if (isTerminal(Found.Record.State) && Age > this->Options.Retention &&
        Found.Record.DataCentre == this->Options.DataCentre)
      this->Records.remove(Found.Record.Id, Found.ModRevision);
  }
  this->markDirty();
}

// Takes a record as it was read; it may be older than what is known.
void PlannerTask::Impl::absorb(const StoredJob &Found) {
  const JobRecord &Record = Found.Record;
  if (isTerminal(Record.State))
    this->EndedJobs.insert(Record.Id);
  auto Known = this->Jobs.find(Record.Id);
  if (Known != this->Jobs.end())
    return this->absorbKnown(*Known->second, Found);
  if (isTerminal(Record.State))
    return;
  if (Record.DataCentre != this->Options.DataCentre)
    return this->takeOver(Found);
  if (Record.Placement.empty())
    return this->addQueued(Found);
  this->adoptPlaced(Found);
}

void PlannerTask::Impl::absorbKnown(PlannedJob &Job, const StoredJob &Found) {
  if (Found.ModRevision <= Job.ModRevision)
    return;
  // The write that is under way must fail if another planner was first, so
  // the revision it expects is kept.
  if (Job.Phase == JobPhase::Acquiring || Job.Phase == JobPhase::Writing)
    return;
  if (isTerminal(Found.Record.State) ||
      Found.Record.DataCentre != this->Options.DataCentre)
    return this->abandon(Job);
  bool SamePlacement = Job.samePlacement(Found.Record);
  bool OtherPlaced = !Found.Record.Placement.empty() && !SamePlacement;
  if (OtherPlaced) {
    this->abandon(Job);
    return this->adoptPlaced(Found);
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
  this->markDirty();
}

// A gang that another planner, or an earlier life of this one, has placed. The
// first renewal takes its leases over and tells what is left of it.
void PlannerTask::Impl::adoptPlaced(const StoredJob &Found) {
  auto Job = std::make_unique<PlannedJob>();
  Job->Record = Found.Record;
  Job->ModRevision = Found.ModRevision;
  Job->CancelWanted = Found.Record.CancelRequested;
  Job->StartedAt = this->now();
  Job->UnresolvedWritten = Found.Record.State == JobState::Unresolved;
  for (const MemberPlacement &Place : Found.Record.Placement) {
    GangMember Member;
    Member.Place = Place;
    Member.Mask = PlannedJob::maskOf(Place.Accelerators);
    Member.State = LeaseState::Held;
    Member.RenewedAt = this->now();
    Job->Members.push_back(std::move(Member));
  }
  PlannedJob &Added = *Job;
  this->Jobs[Found.Record.Id] = std::move(Job);
  this->enter(Added, JobPhase::Running);
  this->Workers.holdExisting(Added, Found.Record.Spec.isReclaimable());
  if (Added.CancelWanted)
    this->beginStop(Added);
}

// Jobs of a data centre that has been lost for long enough. Placed jobs that
// must not run twice stay with the workers that may have run them.
void PlannerTask::Impl::takeOver(const StoredJob &Found) {
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
          this->absorb(Result->Now);
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

// In batches, so that a wave of cancels does not hold up other work.
void PlannerTask::Impl::processNotices() {
  this->NoticesPosted = false;
  if (!this->Started) {
    // The records are being listed; what changed since is read afterwards.
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
    // Constant time, and no read: waves of cancels are of queued jobs.
    if (IsQueued)
      this->remove(*Known->second);
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
        this->noteStore(Answers);
        if (Found.ok())
          this->absorb(*Found);
      }));
}

// Asks all workers for leases that no known gang has: their results are
// released, and what still runs is stopped once it was seen twice, with a
// listing of the records in between.
void PlannerTask::Impl::sweep() {
  if (!this->ListIsFresh)
    return;
  std::erase_if(this->Orphans, [this](const auto &Entry) {
    return this->now() - Entry.second > 10 * this->Options.ListInterval;
  });
  for (const PlannerWorker *W : this->Workers.listed())
    this->workers().status(
        W->Address,
        this->whileActive(
            [this, Worker = *W](const absl::StatusOr<WorkerStatus> &Status) {
              if (Status.ok())
                this->onSwept(Worker, *Status);
            }));
}

void PlannerTask::Impl::onSwept(const PlannerWorker &Worker,
                                const WorkerStatus &Status) {
  this->noteEpochs(Status);
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
    auto [Seen, New] = this->Orphans.try_emplace(Lease.Lease, this->now());
    if (New || this->now() - Seen->second < this->Options.ListInterval / 2)
      continue;
    if (Lease.State == LeaseState::Held || Lease.State == LeaseState::Running)
      this->workers().stop(Worker.Address, Lease.Lease, this->Current,
                           [](const auto &) {});
    this->workers().release(Worker.Address, Lease.Lease, [](const auto &) {});
  }
}

} // namespace vanillayard
