#include "SchedulerImpl.h"
#include "observe/Log.h"

#include "absl/container/flat_hash_set.h"

#include <fmt/format.h>
#include <fmt/ostream.h>

#include <algorithm>
#include <sstream>

namespace vanillayard {

/// Largest number of ends in one report; the next report continues a longer
/// list.
static constexpr size_t MaxEndsPerReport = 500;

/// Backoff of a worker that refused a start for lack of resources: the
/// scheduler's state of the worker is outdated until the next report.
static constexpr absl::Duration BackoffAfterNoRoom = absl::Milliseconds(300);
/// Backoff of a worker that refused a start as unhealthy or overloaded, or to
/// which the order was not sent.
static constexpr absl::Duration BackoffAfterUnavailable = absl::Seconds(1);

static std::string nameOf(const TaskKey &Task) {
  std::ostringstream Out;
  Out << Task;
  return Out.str();
}

void Scheduler::Impl::logJob(const JobEntry &Entry, std::string_view Message,
                             std::string_view Reason) {
  const BatchJob &Job = Entry.Job;
  this->Events.write(LogLevel::Info, "scheduler", Message,
                     {{"job", Job.Id},
                      {"state", BatchStateNames.nameOf(Entry.Progress.State)},
                      {"reason", Reason},
                      {"account", Job.Account},
                      {"queue", Job.Queue},
                      {"priority", Job.Priority},
                      {"steps", Job.Steps.size()},
                      {"submitted", Job.Submitted}},
                     fmt::format("{}: {}", Message, Job.Id.str()));
}

/// Removes a run that is over, and its placement. Does not change the progress
/// of its task otherwise.
void Scheduler::Impl::endRun(RunRecord &Run) {
  TaskKey Task = Run.Task;
  int64_t Number = Run.Run;
  this->Fleet.removeRun(Run);
  JobEntry *Entry = this->Jobs.find(Task.Job);
  if (!Entry)
    return;
  TaskProgress &Progress =
      Entry->Progress.task(Task.Occurrence, Task.Step, Task.Index);
  if (Progress.PlacedRun == Number) {
    Progress.PlacedOn = WorkerId();
    Progress.PlacedRun = 0;
    Entry->IsDirty |= !isFinal(Entry->Progress.State);
  }
  --Entry->step(Task.Occurrence, Task.Step).ActiveTasks;
  this->removeJobIfFinished(*Entry);
}

/// Removes a job whose end is recorded and that has no runs left. While runs
/// are being stopped, the specification of the job is still needed.
void Scheduler::Impl::removeJobIfFinished(const JobEntry &Entry) {
  if (Entry.IsEndRecorded && !Entry.hasRuns())
    this->Jobs.remove(JobId(Entry.Job.Id));
}

/// Marks a run for a stop order from the next plan(). A run that is only
/// reserved is removed.
void Scheduler::Impl::stopRun(RunRecord &Run) {
  if (Run.Phase == RunPhase::Reserved)
    this->endRun(Run);
  else
    Run.Phase = RunPhase::Stopping;
}

void Scheduler::Impl::stopRunsOfJob(JobEntry &Entry) {
  auto StepCount = static_cast<int>(Entry.Job.Steps.size());
  std::vector<RunRecord *> Live;
  for (int P = 0; P < static_cast<int>(Entry.Steps.size()); ++P) {
    if (Entry.Steps[static_cast<size_t>(P)].ActiveTasks == 0)
      continue;
    TaskKey Key{Entry.Job.Id, P / StepCount, P % StepCount, 0};
    for (; Key.Index < Entry.spec(Key.Step).TaskCount; ++Key.Index)
      if (RunRecord *Run = this->Fleet.runOf(Key))
        Live.push_back(Run);
  }
  for (RunRecord *Run : Live)
    this->stopRun(*Run);
}

/// Stops the other members of the gang of \p Run, which cannot complete without
/// it.
void Scheduler::Impl::stopGangOf(const RunRecord &Run) {
  JobEntry *Entry = this->Jobs.find(Run.Task.Job);
  if (!Run.IsGangMember || !Entry)
    return;
  std::vector<RunRecord *> Others;
  TaskKey Key = Run.Task;
  for (Key.Index = 0; Key.Index < Entry->spec(Key.Step).TaskCount; ++Key.Index)
    if (RunRecord *Member = this->Fleet.runOf(Key))
      if (Member != &Run && Member->Run == Run.Run)
        Others.push_back(Member);
  for (RunRecord *Member : Others)
    this->stopRun(*Member);
}

/// \param StartedAt when the run started; InfinitePast if that is not known.
void Scheduler::Impl::applyFailure(JobEntry &Entry, WorkerState &Worker,
                                   const RunEnd &End, absl::Time StartedAt,
                                   absl::Time Now) {
  std::vector<int64_t> &Failed = Entry.attemptProgress(End.Task).FailedRuns;
  if (std::find(Failed.begin(), Failed.end(), End.Run) != Failed.end())
    return;
  // Later failures of a task say more about the task than about the worker.
  if (Failed.empty())
    this->Failures.runFailed(Worker.Registration.Id, JobId(Entry.Job.Id),
                             StartedAt, Entry.hasCompletedTasks(), Now);
  Failed.push_back(End.Run);
  Entry.FailedOn[End.Task] = Worker.Registration.Id;
  Entry.IsDirty = true;
  auto Failures = static_cast<int>(Failed.size());
  if (Failures < Entry.Job.MaxAttempts)
    return;
  this->Jobs.finish(Entry, BatchState::Failed, Now);
  this->stopRunsOfJob(Entry);
  this->logJob(Entry, "job is over",
               fmt::format("task {} failed {} times, last on {}",
                           nameOf(End.Task), Failures,
                           Worker.Registration.Id.str()));
}

void Scheduler::Impl::applyEnd(WorkerState &Worker, const RunEnd &End,
                               absl::Time Now) {
  RunRecord *Run = this->Fleet.runOf(End.Task);
  bool IsCurrent = Run && Run->Worker == &Worker && Run->Run == End.Run;
  if (End.Outcome != RunOutcome::Done)
    this->Events.write(LogLevel::Info, "scheduler", "run ended",
                       {{"job", End.Task.Job},
                        {"task", nameOf(End.Task)},
                        {"run", End.Run},
                        {"worker", Worker.Registration.Id},
                        {"outcome", RunOutcomeNames.nameOf(End.Outcome)},
                        {"current", IsCurrent}},
                       fmt::format("run ended: {}", nameOf(End.Task)));
  absl::Time StartedAt = IsCurrent ? Run->StartedAt : absl::InfinitePast();
  if (IsCurrent) {
    if (JobEntry *Known = this->Jobs.find(End.Task.Job);
        Known && End.Outcome == RunOutcome::Done)
      this->observeDone(*Known, *Run, Now);
    if (End.Outcome != RunOutcome::Done && Run->Phase != RunPhase::Stopping)
      this->stopGangOf(*Run);
    this->endRun(*Run);
  }
  JobEntry *Entry = this->Jobs.find(End.Task.Job);
  if (!Entry || isFinal(Entry->Progress.State) ||
      !Entry->Progress.contains(End.Task.Occurrence, End.Task.Step,
                                End.Task.Index))
    return;
  // The answer to the start may have been lost, or gone to an earlier leader
  // that did not record it.
  JobTable::markBegun(*Entry);
  if (!End.Checkpoint.empty()) {
    Entry->attemptProgress(End.Task).Checkpoint = End.Checkpoint;
    Entry->IsDirty = true;
  }
  if (End.Outcome == RunOutcome::Failed) {
    this->applyFailure(*Entry, Worker, End, StartedAt, Now);
  } else if (End.Outcome == RunOutcome::Done) {
    this->Failures.runDone(Worker.Registration.Id, JobId(Entry->Job.Id));
    // Another worker can have a run of the task if this one started late.
    if (RunRecord *Other = this->Fleet.runOf(End.Task))
      this->stopRun(*Other);
    this->Jobs.markDone(*Entry, End.Task, Now);
    if (isFinal(Entry->Progress.State))
      this->logJob(*Entry, "job is over", "all tasks are done");
  }
}

/// Stops the members of a gang that has runs of only some of its tasks.
void Scheduler::Impl::stopPartOfGang(JobEntry &Entry, int Occurrence,
                                     int Step) {
  const BatchStep &Spec = Entry.spec(Step);
  int Active = Entry.step(Occurrence, Step).ActiveTasks;
  if (!Spec.IsGang || Active == 0 || Active == Spec.TaskCount)
    return;
  TaskKey Key{Entry.Job.Id, Occurrence, Step, 0};
  for (; Key.Index < Spec.TaskCount; ++Key.Index)
    if (RunRecord *Run = this->Fleet.runOf(Key))
      this->stopRun(*Run);
}

/// Adds a run that an earlier leader has started, or may have started.
void Scheduler::Impl::adoptRun(JobEntry &Entry, const TaskKey &Task,
                               int64_t Run, WorkerState &Worker,
                               absl::Time AnsweredAt, absl::Time Now) {
  const BatchStep &Spec = Entry.spec(Task.Step);
  TaskProgress &Progress =
      Entry.Progress.task(Task.Occurrence, Task.Step, Task.Index);
  Entry.IsDirty |= Progress.PlacedRun != Run;
  Progress.PlacedOn = Worker.Registration.Id;
  Progress.PlacedRun = Run;
  this->Fleet.addRun({.Task = Task,
                      .Run = Run,
                      .Worker = &Worker,
                      .Phase = RunPhase::Running,
                      .Need = Spec.PerTask,
                      .Priority = Entry.Job.Priority,
                      .Account = Entry.Job.Account,
                      .IsGangMember = Spec.IsGang,
                      .IsCheckpointing = Spec.IsCheckpointing,
                      .ReservedAt = Now,
                      .StartedAt = Now,
                      .AnsweredAt = AnsweredAt});
  ++Entry.step(Task.Occurrence, Task.Step).ActiveTasks;
}

/// Adds the runs that an earlier leader recorded before it sent their start
/// orders. The first report of the worker, or the end of its lease, shows which
/// of them are over.
void Scheduler::Impl::restoreRuns(JobEntry &Entry, absl::Time Now) {
  auto StepCount = static_cast<int>(Entry.Job.Steps.size());
  for (int P = 0; P < static_cast<int>(Entry.Steps.size()); ++P) {
    TaskKey Key{Entry.Job.Id, P / StepCount, P % StepCount, 0};
    for (; Key.Index < Entry.spec(Key.Step).TaskCount; ++Key.Index) {
      const TaskProgress &Task =
          Entry.Progress.task(Key.Occurrence, Key.Step, Key.Index);
      if (Task.IsDone || Task.PlacedOn.empty())
        continue;
      WorkerState *Worker = this->Fleet.find(Task.PlacedOn);
      if (!Worker) {
        WorkerRegistration Unregistered;
        Unregistered.Id = Task.PlacedOn;
        Worker = &this->Fleet.upsert(Unregistered);
      }
      this->adoptRun(Entry, Key, Task.PlacedRun, *Worker, absl::InfinitePast(),
                     Now);
    }
    this->stopPartOfGang(Entry, Key.Occurrence, Key.Step);
  }
}

void Scheduler::Impl::applyRunningTask(WorkerState &Worker,
                                       const RunningTask &Reported,
                                       absl::Duration WorkerClock,
                                       absl::Time AskedAt, absl::Time Now) {
  JobEntry *Entry = this->Jobs.find(Reported.Task.Job);
  bool IsTaskKnown = Entry && Entry->Progress.contains(Reported.Task.Occurrence,
                                                       Reported.Task.Step,
                                                       Reported.Task.Index);
  RunRecord *Run = this->Fleet.runOf(Reported.Task);
  if (Run && Run->Worker == &Worker && Run->Run == Reported.Run) {
    Run->IsUncertain = false;
    if (Entry)
      JobTable::markBegun(*Entry);
    // A worker that restarted after it accepted the stop has lost it.
    bool IsStopForgotten =
        Run->IsStopAccepted &&
        AskedAt > Run->AnsweredAt + this->Settings.StopTimeout;
    if (IsStopForgotten)
      Run->IsStopAccepted = false;
    // A gang is done with its first done member, so members may end shortly
    // after the job. A run that is reported later than StopTimeout after the
    // job's end was started again by a worker that had restarted and so lost
    // the end.
    bool IsLeftOver = Entry && Run->Phase == RunPhase::Running &&
                      AskedAt > Entry->FinishedAt + this->Settings.StopTimeout;
    if (IsLeftOver)
      this->stopRun(*Run);
    if (IsTaskKnown && !Reported.Checkpoint.empty())
      Entry->attemptProgress(Reported.Task).Checkpoint = Reported.Checkpoint;
    if (IsTaskKnown && Reported.Completed >= 0)
      this->observeProgress(*Entry, *Run, Reported.Completed, WorkerClock, Now);
    return;
  }
  bool IsWanted = IsTaskKnown && !Run && Entry->AwaitsReports &&
                  !isFinal(Entry->Progress.State) &&
                  !Entry->Progress
                       .task(Reported.Task.Occurrence, Reported.Task.Step,
                             Reported.Task.Index)
                       .IsDone;
  if (!IsWanted) {
    this->OrphanStops.push_back(
        {Worker.Registration.Id, Reported.Task, Reported.Run});
    return;
  }
  this->adoptRun(*Entry, Reported.Task, Reported.Run, Worker, Now, Now);
  if (!Reported.Checkpoint.empty())
    Entry->attemptProgress(Reported.Task).Checkpoint = Reported.Checkpoint;
  JobTable::markBegun(*Entry);
}

/// Removes the runs that a report proves to be over: the report was requested
/// after the worker had answered an order for the run, and does not list it. A
/// report with a full list of ends proves nothing, as more ends may follow.
void Scheduler::Impl::endUnlistedRuns(WorkerState &Worker,
                                      const WorkerReport &Report,
                                      absl::Time AskedAt) {
  if (Report.Ends.size() >= MaxEndsPerReport)
    return;
  absl::flat_hash_set<std::pair<TaskKey, int64_t>> Listed;
  for (const RunningTask &Task : Report.Running)
    Listed.emplace(Task.Task, Task.Run);
  std::vector<RunRecord *> Absent;
  for (RunRecord *Run : Worker.Runs)
    if (Run->Phase != RunPhase::Reserved && Run->AnsweredAt < AskedAt &&
        !Listed.contains({Run->Task, Run->Run}))
      Absent.push_back(Run);
  for (RunRecord *Run : Absent) {
    this->Events.write(LogLevel::Info, "scheduler", "run is not on its worker",
                       {{"job", Run->Task.Job},
                        {"task", nameOf(Run->Task)},
                        {"run", Run->Run},
                        {"worker", Worker.Registration.Id}},
                       fmt::format("run absent: {}", nameOf(Run->Task)));
    if (Run->Phase != RunPhase::Stopping)
      this->stopGangOf(*Run);
    this->endRun(*Run);
  }
}

void Scheduler::reportReceived(const WorkerId &Worker,
                               const WorkerReport &Report, absl::Time AskedAt,
                               absl::Time Now) {
  Impl &I = *this->Implementation;
  WorkerState *Found = I.Fleet.find(Worker);
  if (!Found)
    return;
  int64_t &LastEnd = I.LastEndSequences[Worker];
  for (const RunEnd &End : Report.Ends) {
    if (End.Sequence <= LastEnd)
      continue;
    LastEnd = End.Sequence;
    I.applyEnd(*Found, End, Now);
  }
  for (const RunningTask &Task : Report.Running)
    I.applyRunningTask(*Found, Task, Report.Clock, AskedAt, Now);
  I.endUnlistedRuns(*Found, Report, AskedAt);
}

void Scheduler::workerLeaseExpired(const WorkerId &Worker, absl::Time Now) {
  Impl &I = *this->Implementation;
  WorkerState *Found = I.Fleet.find(Worker);
  if (!Found)
    return;
  auto IsLost = [Now](const RunRecord *Run) {
    return !Run->IsUncertain || Run->HeldUntil <= Now;
  };
  std::vector<RunRecord *> &Runs = Found->Runs;
  auto LostCount = std::count_if(Runs.begin(), Runs.end(), IsLost);
  if (LostCount == 0)
    return;
  I.Events.warning(
      "scheduler", "lease of a worker has expired; its runs are lost",
      {{"worker", Worker}, {"runs", LostCount}, {"of", Runs.size()}});
  for (auto Next = std::find_if(Runs.begin(), Runs.end(), IsLost);
       Next != Runs.end();
       Next = std::find_if(Runs.begin(), Runs.end(), IsLost)) {
    RunRecord &Run = **Next;
    I.stopGangOf(Run);
    I.endRun(Run);
  }
}

void Scheduler::restartsExcluded(absl::Time Since, absl::Time Until) {
  for (WorkerState *Worker : this->Implementation->Fleet.workers())
    for (RunRecord *Run : Worker->Runs)
      if (Run->IsUncertain && Run->GivenUpAt >= Since &&
          Run->GivenUpAt <= Until)
        Run->HeldUntil = absl::InfinitePast();
}

void Scheduler::workerRestarted(const WorkerId &Worker) {
  Impl &I = *this->Implementation;
  I.LastEndSequences.erase(Worker);
  I.Failures.forgetWorker(Worker);
  // It may have come back as another kind.
  I.Speeds.forget(Worker);
  I.Events.warning("scheduler", "worker has restarted",
                   {{"worker", Worker}, {"runs", this->runCount(Worker)}});
}

bool Scheduler::isStartPending(const StartOrder &Order) const {
  const RunRecord *Run = this->Implementation->Fleet.runOf(Order.Task);
  return Run && Run->Run == Order.Run &&
         Run->Worker->Registration.Id == Order.Worker &&
         Run->Phase == RunPhase::Starting;
}

void Scheduler::startAnswered(const StartOrder &Order, OrderAnswer Answer,
                              absl::Time Now, absl::Time HeldUntil) {
  Impl &I = *this->Implementation;
  RunRecord *Run = I.Fleet.runOf(Order.Task);
  if (!Run || Run->Run != Order.Run ||
      Run->Worker->Registration.Id != Order.Worker)
    return;
  if (Answer == OrderAnswer::Accepted) {
    Run->AnsweredAt = Now;
    Run->IsUncertain = false;
    if (Run->Phase == RunPhase::Starting)
      Run->Phase = RunPhase::Running;
    if (JobEntry *Entry = I.Jobs.find(Order.Task.Job))
      JobTable::markBegun(*Entry);
    return;
  }
  WorkerState &Worker = *Run->Worker;
  I.Events.write(LogLevel::Info, "scheduler", "start was not confirmed",
                 {{"job", Order.Task.Job},
                  {"task", nameOf(Order.Task)},
                  {"run", Order.Run},
                  {"worker", Order.Worker},
                  {"answer", OrderAnswerNames.nameOf(Answer)}},
                 fmt::format("start: {}", nameOf(Order.Task)));
  if (Run->Phase != RunPhase::Stopping)
    I.stopGangOf(*Run);
  if (Answer == OrderAnswer::Unknown) {
    Run->IsUncertain = true;
    Run->GivenUpAt = Now;
    Run->HeldUntil = HeldUntil;
    Run->Phase = RunPhase::Stopping;
    return;
  }
  if (Answer == OrderAnswer::NoRoom)
    Worker.RefusedUntil =
        std::max(Worker.RefusedUntil, Now + BackoffAfterNoRoom);
  if (Answer == OrderAnswer::Unavailable)
    Worker.RefusedUntil =
        std::max(Worker.RefusedUntil, Now + BackoffAfterUnavailable);
  I.endRun(*Run);
}

void Scheduler::stopAnswered(const StopOrder &Order, bool IsAccepted,
                             absl::Time Now) {
  Impl &I = *this->Implementation;
  RunRecord *Run = I.Fleet.runOf(Order.Task);
  if (!Run || Run->Run != Order.Run ||
      Run->Worker->Registration.Id != Order.Worker)
    return;
  if (!IsAccepted) {
    Run->StopSentAt = absl::InfinitePast();
    return;
  }
  Run->IsStopAccepted = true;
  Run->AnsweredAt = Now;
}

} // namespace vanillayard
