#include "SchedulerImpl.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace vanillayard {

/// A rate is learned after at least this much time and progress, because the
/// progress is reported in steps of 0.01.
static constexpr absl::Duration MinObservation = absl::Milliseconds(500);
static constexpr double MinProgress = 0.05;
/// Without MinProgress, a rate is learned after this time, as the worker may
/// have turned slow.
static constexpr absl::Duration MaxObservation = absl::Seconds(3);
/// Progress that is assumed when none is reported.
static constexpr double HiddenProgress = 0.005;
/// Interval at which predictions and speeds are renewed.
static constexpr absl::Duration RefreshInterval = absl::Milliseconds(500);

TaskFeatures Scheduler::Impl::featuresOf(const JobEntry &Entry,
                                         int Step) const {
  return {Entry.Job.Queue, Entry.Job.Account, Step, Entry.spec(Step).Estimate};
}

/// Renews the expected work of the job's steps, and the paths through them.
void Scheduler::Impl::refreshWork(JobEntry &Entry, absl::Time Now) {
  size_t Count = Entry.Job.Steps.size();
  bool HasChanged = Entry.RemainingPaths.empty();
  Entry.Works.resize(Count);
  for (size_t S = 0; S < Count; ++S) {
    StepWork &Step = Entry.Works[S];
    if (Now - Step.RefreshedAt < RefreshInterval)
      continue;
    Step.RefreshedAt = Now;
    HasChanged = true;
    if (!this->Settings.LearnsRunTimes) {
      Step.Work.LogMean = std::log(
          std::max(absl::ToDoubleSeconds(Entry.Job.Steps[S].Estimate), 1e-3));
      continue;
    }
    if (Step.Id == WorkerSpeeds::StepId())
      Step.Id = WorkerSpeeds::StepId(++this->LastStepId);
    if (!Step.IsObserved) {
      Step.Work =
          this->RunTimes.predict(this->featuresOf(Entry, static_cast<int>(S)));
    } else if (auto Shown = this->Speeds.work(Step.Id)) {
      Step.Work = *Shown;
    }
  }
  if (!HasChanged)
    return;
  Entry.RemainingPaths.assign(Count, absl::ZeroDuration());
  // Steps depend on earlier ones only.
  for (size_t S = Count; S-- > 0;) {
    Entry.RemainingPaths[S] +=
        Entry.Works[S].Work.median(this->TypicalLogSpeed);
    for (int Earlier : Entry.Job.Steps[S].DependsOn) {
      absl::Duration &After =
          Entry.RemainingPaths[static_cast<size_t>(Earlier)];
      After = std::max(After, Entry.RemainingPaths[S]);
    }
  }
}

/// Sets the speed of all workers, and that of a typical one.
void Scheduler::Impl::refreshSpeeds(absl::Time Now) {
  if (!this->Settings.LearnsRunTimes ||
      Now - this->SpeedsRefreshedAt < RefreshInterval)
    return;
  this->SpeedsRefreshedAt = Now;
  this->Speeds.refresh(Now);
  double Sum = 0;
  for (WorkerState *Worker : this->Fleet.workers()) {
    Worker->LogSpeed = this->Speeds.logSpeed(Worker->Registration.Id);
    Worker->IsSlow = this->Speeds.isSlow(Worker->Registration.Id);
    Sum += Worker->LogSpeed;
  }
  this->TypicalLogSpeed =
      Sum /
      static_cast<double>(std::max<size_t>(this->Fleet.workers().size(), 1));
}

double Scheduler::Impl::slowestLogSpeed(const JobEntry &Entry,
                                        const RunRecord &Run) {
  double Slowest = Run.Worker->LogSpeed;
  TaskKey Key = Run.Task;
  for (Key.Index = 0; Key.Index < Entry.spec(Key.Step).TaskCount; ++Key.Index)
    if (const RunRecord *Member = this->Fleet.runOf(Key))
      Slowest = std::min(Slowest, Member->Worker->LogSpeed);
  return Slowest;
}

/// \param Rate completed share of the work per second.
void Scheduler::Impl::observeRate(JobEntry &Entry, const RunRecord &Run,
                                  double Rate, absl::Time Now) {
  this->refreshWork(Entry, Now);
  StepWork &Step = Entry.Works[static_cast<size_t>(Run.Task.Step)];
  this->Speeds.observe({Step.Id, Run.Worker->Registration.Id, std::log(Rate),
                        Run.IsGangMember ? WorkerSpeeds::MemberVariance
                                         : WorkerSpeeds::TaskVariance,
                        Run.ObservedRates == 0},
                       Now);
  this->learnWork(Entry, Run.Task.Step, Run.Worker->LogSpeed - std::log(Rate));
}

void Scheduler::Impl::learnWork(JobEntry &Entry, int Step, double LogWork) {
  StepWork &Known = Entry.Works[static_cast<size_t>(Step)];
  if (std::exchange(Known.IsObserved, true))
    return;
  this->RunTimes.learn(this->featuresOf(Entry, Step), LogWork);
  Known.Work.LogMean = LogWork;
}

/// Learns from the progress between two reports of a run.
void Scheduler::Impl::observeProgress(JobEntry &Entry, RunRecord &Run,
                                      double Completed,
                                      absl::Duration WorkerClock,
                                      absl::Time Now) {
  Run.Completed = Completed;
  if (!this->Settings.LearnsRunTimes || Run.Phase != RunPhase::Running)
    return;
  bool IsFirst = Run.ObservedFrom < 0 || Completed < Run.ObservedFrom ||
                 WorkerClock < Run.ObservedFromClock;
  bool IsFromStart = !Run.IsGangMember && Run.ObservedFrom < 0 &&
                     Run.IsStartKnown &&
                     Entry.attemptProgress(Run.Task).Checkpoint.empty();
  if (IsFromStart) {
    Run.ObservedFrom = 0;
    Run.ObservedFromClock = WorkerClock - (Now - Run.StartedAt);
  } else if (IsFirst) {
    Run.ObservedFrom = Completed;
    Run.ObservedFromClock = WorkerClock;
    return;
  }
  // A member of a gang that has completed its work waits for the others.
  if (Completed >= 1)
    return;
  absl::Duration Time = WorkerClock - Run.ObservedFromClock;
  double Progress = Completed - Run.ObservedFrom;
  if (Time < MinObservation ||
      (Progress < MinProgress && Time < MaxObservation))
    return;
  this->refreshWork(Entry, Now);
  this->observeRate(
      Entry, Run,
      std::max(Progress, HiddenProgress) / absl::ToDoubleSeconds(Time), Now);
  ++Run.ObservedRates;
  Run.ObservedFrom = Completed;
  Run.ObservedFromClock = WorkerClock;
}

/// Learns from a run that was too short for two reports.
void Scheduler::Impl::observeDone(JobEntry &Entry, const RunRecord &Run,
                                  absl::Time Now) {
  absl::Duration Time = Now - Run.StartedAt;
  bool IsWhole = Run.IsStartKnown && Run.ObservedRates == 0 &&
                 Entry.attemptProgress(Run.Task).Checkpoint.empty();
  if (!this->Settings.LearnsRunTimes || !IsWhole ||
      Time <= absl::ZeroDuration())
    return;
  double Seconds = absl::ToDoubleSeconds(Time);
  if (!Run.IsGangMember)
    return this->observeRate(Entry, Run, 1 / Seconds, Now);
  // A gang ends when its slowest member has completed its work.
  this->refreshWork(Entry, Now);
  this->learnWork(Entry, Run.Task.Step,
                  this->slowestLogSpeed(Entry, Run) + std::log(Seconds));
}

/// The record has two lines: the model of run times and the speeds.
std::string Scheduler::encodeRunTimes() const {
  const Impl &I = *this->Implementation;
  return I.RunTimes.encode() + "\n" + I.Speeds.encode();
}

absl::Status Scheduler::restoreRunTimes(std::string_view Record,
                                        absl::Time Now) {
  Impl &I = *this->Implementation;
  if (!I.Settings.LearnsRunTimes || !I.RunTimes.errors().empty())
    return absl::OkStatus();
  size_t End = std::min(Record.find('\n'), Record.size());
  if (absl::Status Status = I.RunTimes.decode(Record.substr(0, End));
      !Status.ok())
    return Status;
  I.Speeds.decode(Record.substr(std::min(End + 1, Record.size())), Now);
  return absl::OkStatus();
}

std::vector<RunTimeModel::QueueError> Scheduler::runTimeErrors() const {
  return this->Implementation->RunTimes.errors();
}

size_t Scheduler::slowWorkerCount() const {
  const auto &Workers = this->Implementation->Fleet.workers();
  return static_cast<size_t>(
      std::count_if(Workers.begin(), Workers.end(),
                    [](const WorkerState *W) { return W->IsSlow; }));
}

} // namespace vanillayard
