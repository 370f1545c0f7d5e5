#include "scheduler/Scheduler.h"

#include "SchedulerImpl.h"
#include "fleet/JobProgressCodec.h"
#include "observe/Log.h"

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
  if (Entry.Job.Priority == 0)
    I.UrgentArrivals[Entry.Job.WorkerPool].add(
        static_cast<double>(Entry.Job.maxAcceleratorsPerStep()), Now);
  I.logJob(Entry, "job is known", MayHaveRuns ? "taken over" : "submitted");
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
    for (size_t P = 0; P < Entry->Steps.size(); ++P) {
      auto Steps = static_cast<int>(Entry->Job.Steps.size());
      auto Position = static_cast<int>(P);
      const BatchStep &Spec = Entry->spec(Position % Steps);
      int Active = Entry->Steps[P].ActiveTasks;
      if (!Spec.IsGang || Active == 0 || Active == Spec.TaskCount)
        continue;
      TaskKey Key{Id, Position / Steps, Position % Steps, 0};
      for (; Key.Index < Spec.TaskCount; ++Key.Index)
        if (RunRecord *Run = I.Fleet.runOf(Key))
          I.stopRun(*Run);
    }
  }
}

void Scheduler::updateWorker(const WorkerRegistration &Registration) {
  this->Implementation->Fleet.upsert(Registration);
}

void Scheduler::setUsable(const WorkerId &Worker, bool IsUsable) {
  if (WorkerState *Found = this->Implementation->Fleet.find(Worker))
    Found->IsUsable = IsUsable;
}

void Scheduler::removeWorker(const WorkerId &Worker) {
  Impl &I = *this->Implementation;
  I.Fleet.remove(Worker);
  I.LastEndSequences.erase(Worker);
  I.Failures.forgetWorker(Worker);
}

size_t Scheduler::runCount(const WorkerId &Worker) const {
  WorkerState *Found = this->Implementation->Fleet.find(Worker);
  return Found ? Found->Runs.size() : 0;
}

int64_t Scheduler::lastEndSequence(const WorkerId &Worker) const {
  auto Found = this->Implementation->LastEndSequences.find(Worker);
  return Found == this->Implementation->LastEndSequences.end() ? 0
                                                               : Found->second;
}

bool Scheduler::hasWaitingWork() const {
  return this->Implementation->HasWaitingWork;
}

std::vector<ProgressChange> Scheduler::takeChanges(size_t Max) {
  std::vector<ProgressChange> Changes;
  for (const auto &[Id, Entry] : this->Implementation->Jobs.all()) {
    if (Changes.size() == Max)
      break;
    if (!Entry->IsDirty)
      continue;
    Entry->IsDirty = false;
    Changes.push_back({Id, encodeProgress(Entry->Job, Entry->Progress),
                       isFinal(Entry->Progress.State), Entry->Progress.State,
                       Entry->Job.Queue});
  }
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
  if (!Entry || !Change.IsFinal || Entry->IsDirty)
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
