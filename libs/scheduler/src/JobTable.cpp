#include "JobTable.h"

#include <algorithm>

namespace vanillayard {

JobEntry &JobTable::add(BatchJob Job, JobProgress Progress, absl::Time Now) {
  JobId Id = Job.Id;
  std::unique_ptr<JobEntry> &Slot = this->Jobs[Id];
  if (Slot)
    return *Slot;
  Slot = std::make_unique<JobEntry>(std::move(Job), std::move(Progress));
  JobEntry &Entry = *Slot;
  int Occurrences = Entry.Job.occurrenceCount();
  auto StepCount = static_cast<int>(Entry.Job.Steps.size());
  Entry.Steps.resize(static_cast<size_t>(Occurrences) * Entry.Job.Steps.size());
  for (int K = 0; K < Occurrences; ++K) {
    for (int S = 0; S < StepCount; ++S) {
      StepEntry &Step = Entry.step(K, S);
      for (int I = 0; I < Entry.spec(S).TaskCount; ++I)
        Step.DoneTasks += Entry.Progress.task(K, S, I).IsDone ? 1 : 0;
      if (Step.DoneTasks == Entry.spec(S).TaskCount)
        ++Entry.DoneSteps;
    }
    this->refreshReadiness(Entry, K, Now);
  }
  if (Entry.Job.Priority == 0 && !isFinal(Entry.Progress.State))
    this->UrgentDemand[Entry.Job.Account] += Entry.Job.maxAcceleratorsPerStep();
  return Entry;
}

JobEntry *JobTable::find(const JobId &Id) {
  auto Found = this->Jobs.find(Id);
  return Found == this->Jobs.end() ? nullptr : Found->second.get();
}

void JobTable::remove(const JobId &Id) {
  this->Jobs.erase(Id);
}

void JobTable::refreshReadiness(JobEntry &Entry, int Occurrence,
                                absl::Time Now) {
  for (int S = 0; S < static_cast<int>(Entry.Job.Steps.size()); ++S) {
    StepEntry &Step = Entry.step(Occurrence, S);
    if (Step.ReadySince != absl::InfiniteFuture())
      continue;
    const std::vector<int> &DependsOn = Entry.spec(S).DependsOn;
    bool IsReady =
        std::all_of(DependsOn.begin(), DependsOn.end(), [&](int Earlier) {
          return Entry.step(Occurrence, Earlier).DoneTasks ==
                 Entry.spec(Earlier).TaskCount;
        });
    if (IsReady)
      Step.ReadySince = std::max(Now, Entry.Job.dueTime(Occurrence));
  }
}

void JobTable::markDone(JobEntry &Entry, const TaskKey &Task, absl::Time Now) {
  StepEntry &Step = Entry.step(Task.Occurrence, Task.Step);
  const BatchStep &Spec = Entry.spec(Task.Step);
  bool WasComplete = Step.DoneTasks == Spec.TaskCount;
  int First = Spec.IsGang ? 0 : Task.Index;
  int Last = Spec.IsGang ? Spec.TaskCount - 1 : Task.Index;
  for (int I = First; I <= Last; ++I) {
    TaskProgress &Progress = Entry.Progress.task(Task.Occurrence, Task.Step, I);
    Step.DoneTasks += Progress.IsDone ? 0 : 1;
    Progress.IsDone = true;
  }
  Entry.IsDirty = true;
  if (WasComplete || Step.DoneTasks < Spec.TaskCount)
    return;
  ++Entry.DoneSteps;
  this->refreshReadiness(Entry, Task.Occurrence, Now);
  if (static_cast<size_t>(Entry.DoneSteps) == Entry.Steps.size())
    this->finish(Entry, BatchState::Done, Now);
}

void JobTable::finish(JobEntry &Entry, BatchState State, absl::Time Now) {
  if (isFinal(Entry.Progress.State))
    return;
  Entry.Progress.State = State;
  Entry.IsDirty = true;
  Entry.FinishedAt = Now;
  if (Entry.Job.Priority == 0)
    this->UrgentDemand[Entry.Job.Account] -= Entry.Job.maxAcceleratorsPerStep();
}

void JobTable::markBegun(JobEntry &Entry) {
  if (Entry.Progress.State != BatchState::Queued)
    return;
  Entry.Progress.State = BatchState::Running;
  Entry.IsDirty = true;
}

int64_t JobTable::urgentDemand(const ClientAccountId &Account) const {
  auto Found = this->UrgentDemand.find(Account);
  return Found == this->UrgentDemand.end() ? 0 : Found->second;
}

std::map<std::string, int64_t> JobTable::waitingJobsByQueue() const {
  std::map<std::string, int64_t> Waiting;
  for (const auto &[Id, Entry] : this->Jobs) {
    int64_t &Count = Waiting[Entry->Job.Queue];
    if (Entry->Progress.State == BatchState::Queued &&
        Entry->Job.Schedule.Count == 0)
      ++Count;
  }
  return Waiting;
}

} // namespace vanillayard
