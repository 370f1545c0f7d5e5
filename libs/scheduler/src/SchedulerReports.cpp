#include "SchedulerImpl.h"
#include "observe/Log.h"

#include "absl/container/flat_hash_set.h"

#include <fmt/format.h>
#include <fmt/ostream.h>

#include <algorithm>
#include <cmath>
#include <sstream>

namespace vanillayard {

/// A worker page of ends; a longer list is continued in the next report.
static constexpr size_t EndsPerReport = 500;

/// Failures in a row, of tasks that have not failed elsewhere, after which a
/// worker gets no new work for a while.
static constexpr int FailuresBeforeRest = 2;
/// Rest after these failures; doubled with each further one.
static constexpr absl::Duration FirstRest = absl::Seconds(2);
static constexpr absl::Duration LongestRest = absl::Seconds(30);

/// Rest of a worker that refused a start for want of room: the scheduler's
/// view of it is behind, and the next report corrects it.
static constexpr absl::Duration RestAfterNoRoom = absl::Milliseconds(300);
/// Rest of a worker that refused a start as unhealthy, or was not reached.
static constexpr absl::Duration RestAfterUnavailable = absl::Seconds(1);

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

/// Removes a run that is over. Nothing is concluded about its task.
void Scheduler::Impl::endRun(RunRecord &Run) {
  TaskKey Task = Run.Task;
  this->Fleet.removeRun(Run);
  JobEntry *Entry = this->Jobs.find(Task.Job);
  if (!Entry)
    return;
  --Entry->step(Task.Occurrence, Task.Step).ActiveTasks;
  this->forgetIfOver(*Entry);
}

/// Forgets a job whose end is recorded and whose runs are gone. Runs that are
/// being stopped still need the job's demands.
void Scheduler::Impl::forgetIfOver(const JobEntry &Entry) {
  bool HasRuns =
      std::any_of(Entry.Steps.begin(), Entry.Steps.end(),
                  [](const StepEntry &Step) { return Step.ActiveTasks > 0; });
  if (Entry.IsEndRecorded && !HasRuns)
    this->Jobs.remove(JobId(Entry.Job.Id));
}

/// Makes plan() order the stop. A run that was not started is dropped.
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

/// Stops the other members of a gang run that cannot be complete any more.
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

void Scheduler::Impl::noteWorkerFailure(WorkerState &Worker, absl::Time Now) {
  ++Worker.FailureStreak;
  int Beyond = Worker.FailureStreak - FailuresBeforeRest;
  if (Beyond < 0)
    return;
  absl::Duration Rest =
      std::min(LongestRest, FirstRest * std::exp2(std::min(Beyond, 10)));
  Worker.AvoidUntil = std::max(Worker.AvoidUntil, Now + Rest);
  this->Events.warning("scheduler", "worker rests after failures",
                       {{"worker", Worker.Entry.Id},
                        {"failures", Worker.FailureStreak},
                        {"rest", Rest}});
}

void Scheduler::Impl::applyFailure(JobEntry &Entry, WorkerState &Worker,
                                   const RunEnd &End, absl::Time Now) {
  std::vector<int64_t> &Failed = Entry.account(End.Task).FailedRuns;
  if (std::find(Failed.begin(), Failed.end(), End.Run) != Failed.end())
    return;
  if (Failed.empty())
    this->noteWorkerFailure(Worker, Now);
  Failed.push_back(End.Run);
  Entry.FailedOn[End.Task] = Worker.Entry.Id;
  Entry.IsDirty = true;
  auto Failures = static_cast<int>(Failed.size());
  if (Failures < Entry.Job.MaxAttempts)
    return;
  this->Jobs.finish(Entry, BatchState::Failed, Now);
  this->stopRunsOfJob(Entry);
  this->logJob(Entry, "job is over",
               fmt::format("task {} failed {} times, last on {}",
                           nameOf(End.Task), Failures, Worker.Entry.Id.str()));
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
                        {"worker", Worker.Entry.Id},
                        {"outcome", RunOutcomeNames.nameOf(End.Outcome)},
                        {"current", IsCurrent}},
                       fmt::format("run ended: {}", nameOf(End.Task)));
  if (IsCurrent) {
    if (End.Outcome != RunOutcome::Done && Run->Phase != RunPhase::Stopping)
      this->stopGangOf(*Run);
    this->endRun(*Run);
  }
  JobEntry *Entry = this->Jobs.find(End.Task.Job);
  if (!Entry || isFinal(Entry->Progress.State) ||
      !Entry->Progress.contains(End.Task.Occurrence, End.Task.Step,
                                End.Task.Index))
    return;
  // The leader that started it may not have written that it had.
  if (Entry->Progress.State == BatchState::Queued) {
    Entry->Progress.State = BatchState::Running;
    Entry->IsDirty = true;
  }
  if (!End.Checkpoint.empty()) {
    Entry->account(End.Task).Checkpoint = End.Checkpoint;
    Entry->IsDirty = true;
  }
  if (End.Outcome == RunOutcome::Failed) {
    this->applyFailure(*Entry, Worker, End, Now);
  } else if (End.Outcome == RunOutcome::Done) {
    Worker.FailureStreak = 0;
    Worker.AvoidUntil = absl::InfinitePast();
    // A run elsewhere can exist when this one was carried out late.
    if (RunRecord *Other = this->Fleet.runOf(End.Task))
      this->stopRun(*Other);
    this->Jobs.markDone(*Entry, End.Task, Now);
    if (isFinal(Entry->Progress.State))
      this->logJob(*Entry, "job is over", "all tasks are done");
  }
}

void Scheduler::Impl::takeRunning(WorkerState &Worker, const RunningTask &Task,
                                  absl::Time AskedAt, absl::Time Now) {
  JobEntry *Entry = this->Jobs.find(Task.Task.Job);
  bool IsTaskKnown =
      Entry && Entry->Progress.contains(Task.Task.Occurrence, Task.Task.Step,
                                        Task.Task.Index);
  RunRecord *Run = this->Fleet.runOf(Task.Task);
  if (Run && Run->Worker == &Worker && Run->Run == Task.Run) {
    Run->IsUncertain = false;
    // A worker that started anew after the stop knows nothing of it.
    bool IsStopLost = Run->IsStopAnswered &&
                      AskedAt > Run->AnsweredAt + this->Terms.StopTimeout;
    if (IsStopLost)
      Run->IsStopAnswered = false;
    // The end of one member is that of its gang. What still runs long after
    // the job was started again by a worker that had forgotten the end.
    bool IsLeftOver = Entry && Run->Phase == RunPhase::Running &&
                      AskedAt > Entry->FinishedAt + this->Terms.StopTimeout;
    if (IsLeftOver)
      this->stopRun(*Run);
    if (IsTaskKnown && !Task.Checkpoint.empty())
      Entry->account(Task.Task).Checkpoint = Task.Checkpoint;
    return;
  }
  bool IsWanted =
      IsTaskKnown && !Run && Entry->AwaitsReports &&
      !isFinal(Entry->Progress.State) &&
      !Entry->Progress
           .task(Task.Task.Occurrence, Task.Task.Step, Task.Task.Index)
           .IsDone;
  if (!IsWanted) {
    this->StrayStops.push_back({Worker.Entry.Id, Task.Task, Task.Run});
    return;
  }
  const BatchStep &Spec = Entry->spec(Task.Task.Step);
  this->Fleet.addRun({.Task = Task.Task,
                      .Run = Task.Run,
                      .Worker = &Worker,
                      .Phase = RunPhase::Running,
                      .Need = Spec.PerTask,
                      .Priority = Entry->Job.Priority,
                      .Account = Entry->Job.Account,
                      .IsGangMember = Spec.IsGang,
                      .IsCheckpointing = Spec.IsCheckpointing,
                      .ReservedAt = Now,
                      .StartedAt = Now,
                      .AnsweredAt = Now});
  ++Entry->step(Task.Task.Occurrence, Task.Task.Step).ActiveTasks;
  if (!Task.Checkpoint.empty())
    Entry->account(Task.Task).Checkpoint = Task.Checkpoint;
  if (Entry->Progress.State == BatchState::Queued) {
    Entry->Progress.State = BatchState::Running;
    Entry->IsDirty = true;
  }
}

/// Ends runs that a report proves to be absent: it was asked for after the
/// worker had answered an order of the run, and lists it nowhere.
void Scheduler::Impl::endUnlistedRuns(WorkerState &Worker,
                                      const WorkerReport &Report,
                                      absl::Time AskedAt) {
  if (Report.Ends.size() >= EndsPerReport)
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
                        {"worker", Worker.Entry.Id}},
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
  int64_t &LastEnd = I.LastEnds[Worker];
  for (const RunEnd &End : Report.Ends) {
    if (End.Sequence <= LastEnd)
      continue;
    LastEnd = End.Sequence;
    I.applyEnd(*Found, End, Now);
  }
  for (const RunningTask &Task : Report.Running)
    I.takeRunning(*Found, Task, AskedAt, Now);
  I.endUnlistedRuns(*Found, Report, AskedAt);
}

void Scheduler::loseRuns(const WorkerId &Worker) {
  Impl &I = *this->Implementation;
  WorkerState *Found = I.Fleet.find(Worker);
  if (!Found)
    return;
  I.Events.warning("scheduler", "runs of a worker are lost",
                   {{"worker", Worker}, {"runs", Found->Runs.size()}});
  while (!Found->Runs.empty()) {
    RunRecord &Run = *Found->Runs.back();
    I.stopGangOf(Run);
    I.endRun(Run);
  }
}

void Scheduler::workerRestarted(const WorkerId &Worker) {
  Impl &I = *this->Implementation;
  I.LastEnds.erase(Worker);
  I.Events.warning("scheduler", "worker has started anew",
                   {{"worker", Worker}, {"runs", this->runsOn(Worker)}});
}

bool Scheduler::isStartWanted(const StartOrder &Order) const {
  const RunRecord *Run = this->Implementation->Fleet.runOf(Order.Task);
  return Run && Run->Run == Order.Run &&
         Run->Worker->Entry.Id == Order.Worker &&
         Run->Phase == RunPhase::Starting;
}

void Scheduler::startAnswered(const StartOrder &Order, OrderAnswer Answer,
                              absl::Time Now) {
  Impl &I = *this->Implementation;
  RunRecord *Run = I.Fleet.runOf(Order.Task);
  if (!Run || Run->Run != Order.Run || Run->Worker->Entry.Id != Order.Worker)
    return;
  if (Answer == OrderAnswer::Accepted) {
    Run->AnsweredAt = Now;
    Run->IsUncertain = false;
    if (Run->Phase == RunPhase::Starting)
      Run->Phase = RunPhase::Running;
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
    Run->Phase = RunPhase::Stopping;
    return;
  }
  if (Answer == OrderAnswer::NoRoom)
    Worker.AvoidUntil = std::max(Worker.AvoidUntil, Now + RestAfterNoRoom);
  if (Answer == OrderAnswer::Unavailable)
    Worker.AvoidUntil = std::max(Worker.AvoidUntil, Now + RestAfterUnavailable);
  I.endRun(*Run);
}

void Scheduler::stopAnswered(const StopOrder &Order, bool IsAnswered,
                             absl::Time Now) {
  Impl &I = *this->Implementation;
  RunRecord *Run = I.Fleet.runOf(Order.Task);
  if (!Run || Run->Run != Order.Run || Run->Worker->Entry.Id != Order.Worker)
    return;
  if (!IsAnswered) {
    Run->StopSentAt = absl::InfinitePast();
    return;
  }
  Run->IsStopAnswered = true;
  Run->AnsweredAt = Now;
}

} // namespace vanillayard
