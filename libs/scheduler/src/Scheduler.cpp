#include "scheduler/Scheduler.h"

#include "SchedulerImpl.h"
#include "fleet/JobProgressCodec.h"
#include "observe/Log.h"

#include <algorithm>

namespace vanillayard {

Scheduler::Scheduler(const SchedulerSettings &Settings, int64_t FirstRun,
                     Log &Events)
    : Implementation(std::make_unique<Impl>(Settings, FirstRun, Events)) {}

Scheduler::~Scheduler() = default;

void Scheduler::setConfiguration(const FleetConfiguration &Configuration) {
  auto &Guarantees = this->Implementation->Search.Guarantees;
  Guarantees.clear();
  for (const AccountSettings &Account : Configuration.Accounts)
    Guarantees[Account.Id] = Account.GuaranteedAccelerators;
}

void Scheduler::addJob(BatchJob Job, JobProgress Progress, bool MayHaveRuns,
                       absl::Time Now) {
  Impl &I = *this->Implementation;
  if (I.Jobs.find(Job.Id))
    return;
  JobEntry &Entry = I.Jobs.add(std::move(Job), std::move(Progress), Now);
  Entry.AwaitsReports = MayHaveRuns && !I.IsRecovered;
  if (MayHaveRuns)
    for (TaskProgress &Task : Entry.Progress.tasks()) {
      Task.PlacedOn = WorkerId();
      Task.PlacedRun = 0;
    }
  else if (!isFinal(Entry.Progress.State))
    I.restoreRuns(Entry, Now);
  if (Entry.Job.Priority == 0)
    I.UrgentArrivals[Entry.Job.WorkerPool].add(
        static_cast<double>(Entry.Job.maxAcceleratorsPerStep()), Now);
  I.logJob(Entry, "job is known",
           MayHaveRuns || Entry.hasRuns() ? "taken over" : "submitted");
}

void Scheduler::cancelJob(const JobId &Id, absl::Time Now) {
  Impl &I = *this->Implementation;
  JobEntry *Entry = I.Jobs.find(Id);
  if (!Entry || isFinal(Entry->Progress.State))
    return;
  I.Jobs.finish(*Entry, BatchState::Cancelled, Now);
  I.stopRunsOfJob(*Entry);
  I.logJob(*Entry, "job is over", "cancelled by its client account");
}

bool Scheduler::hasJob(const JobId &Id) const {
  return this->Implementation->Jobs.find(Id) != nullptr;
}

void Scheduler::finishRecovery() {
  Impl &I = *this->Implementation;
  I.IsRecovered = true;
  for (const auto &[Id, Entry] : I.Jobs.all()) {
    if (!Entry->AwaitsReports)
      continue;
    Entry->AwaitsReports = false;
    auto StepCount = static_cast<int>(Entry->Job.Steps.size());
    for (int P = 0; P < static_cast<int>(Entry->Steps.size()); ++P)
      I.stopPartOfGang(*Entry, P / StepCount, P % StepCount);
  }
}

void Scheduler::updateWorker(const WorkerRegistration &Registration) {
  this->Implementation->Fleet.upsert(Registration);
}

void Scheduler::setUsable(const WorkerId &Worker, bool IsUsable) {
  if (WorkerState *Found = this->Implementation->Fleet.find(Worker))
    Found->IsUsable = IsUsable;
}

void Scheduler::setEvacuated(
    const absl::flat_hash_set<DataCentreId> &DataCentres) {
  this->Implementation->Fleet.setEvacuated(DataCentres);
}

bool Scheduler::isEvacuated(const WorkerId &Worker) const {
  const WorkerState *Found = this->Implementation->Fleet.find(Worker);
  return Found && Found->IsEvacuated;
}

EvacuationUse Scheduler::evacuationUse() const {
  const FleetState &Fleet = this->Implementation->Fleet;
  EvacuationUse Use;
  Use.DataCentres = Fleet.evacuated().size();
  for (const WorkerState *Worker : Fleet.workers()) {
    if (!Worker->IsEvacuated)
      continue;
    ++Use.Workers;
    Use.Runs += Worker->Runs.size();
  }
  return Use;
}

void Scheduler::removeWorker(const WorkerId &Worker) {
  Impl &I = *this->Implementation;
  I.Fleet.remove(Worker);
  I.LastEndSequences.erase(Worker);
  I.Failures.forgetWorker(Worker);
  I.Speeds.forget(Worker);
}

std::vector<WorkerId> Scheduler::workersWithRuns() const {
  std::vector<WorkerId> Ids;
  for (const WorkerState *Worker : this->Implementation->Fleet.workers())
    if (!Worker->Runs.empty())
      Ids.push_back(Worker->Registration.Id);
  return Ids;
}

size_t Scheduler::runCount(const WorkerId &Worker) const {
  WorkerState *Found = this->Implementation->Fleet.find(Worker);
  return Found ? Found->Runs.size() : 0;
}

bool Scheduler::hasStartedRuns(const WorkerId &Worker) const {
  const WorkerState *Found = this->Implementation->Fleet.find(Worker);
  return Found && std::any_of(Found->Runs.begin(), Found->Runs.end(),
                              [](const RunRecord *Run) {
                                return Run->Phase != RunPhase::Reserved;
                              });
}

int64_t Scheduler::lastEndSequence(const WorkerId &Worker) const {
  auto Found = this->Implementation->LastEndSequences.find(Worker);
  return Found == this->Implementation->LastEndSequences.end() ? 0
                                                               : Found->second;
}

bool Scheduler::hasWaitingWork() const {
  return this->Implementation->HasWaitingWork;
}

std::vector<ProgressChange>
Scheduler::takeChanges(size_t Max, const absl::flat_hash_set<JobId> &Excluded) {
  std::vector<ProgressChange> Changes;
  auto Take = [&](JobEntry &Entry) {
    if (!Entry.IsDirty || Changes.size() == Max ||
        Excluded.contains(Entry.Job.Id))
      return;
    Entry.IsDirty = false;
    Changes.push_back({Entry.Job.Id, encodeProgress(Entry.Job, Entry.Progress),
                       isFinal(Entry.Progress.State), Entry.Progress.State,
                       Entry.Job.Queue, Entry.PlacementVersion});
  };
  // Starts wait for the record of their placement.
  for (const auto &[Id, Entry] : this->Implementation->Jobs.all())
    if (Entry->PlacementVersion > Entry->RecordedPlacements)
      Take(*Entry);
  for (const auto &[Id, Entry] : this->Implementation->Jobs.all())
    Take(*Entry);
  return Changes;
}

bool Scheduler::hasChanges() const {
  for (const auto &[Id, Entry] : this->Implementation->Jobs.all())
    if (Entry->IsDirty)
      return true;
  return false;
}

void Scheduler::progressWriteFailed(const JobId &Job) {
  if (JobEntry *Entry = this->Implementation->Jobs.find(Job))
    Entry->IsDirty = true;
}

void Scheduler::progressWritten(const ProgressChange &Change) {
  Impl &I = *this->Implementation;
  JobEntry *Entry = I.Jobs.find(Change.Job);
  if (!Entry)
    return;
  Entry->RecordedPlacements =
      std::max(Entry->RecordedPlacements, Change.PlacementVersion);
  if (!Change.IsFinal || Entry->IsDirty)
    return;
  I.logJob(*Entry, "end of the job is recorded",
           BatchStateNames.nameOf(Entry->Progress.State));
  Entry->IsEndRecorded = true;
  I.removeJobIfFinished(*Entry);
}

std::map<std::string, int64_t> Scheduler::waitingJobsByQueue() const {
  return this->Implementation->Jobs.waitingJobsByQueue();
}

const std::map<WaitReason, int64_t> &Scheduler::waitingTasksByReason() const {
  return this->Implementation->WaitingTasks;
}

size_t Scheduler::jobCount() const {
  return this->Implementation->Jobs.all().size();
}

} // namespace vanillayard
