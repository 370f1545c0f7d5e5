#include "SchedulerImpl.h"
#include "observe/Log.h"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>
#include <tuple>

namespace vanillayard {

/// A stop order that the worker has not accepted is sent again after this time.
static constexpr absl::Duration StopResendInterval = absl::Milliseconds(700);
/// A reservation is cancelled if the resources have not become free within
/// StopTimeout plus this time.
static constexpr absl::Duration ReservationSlack = absl::Seconds(2);
/// A job that ends later than this many objectives after its submission or due
/// time is of no use to its caller any more, by the platform's terms of
/// service.
static constexpr double UsefulObjectives = 3.0;

/// Largest share of a pool's accelerators that is kept free for urgent work. It
/// stays below one half because the platform expects half of a pool to be in
/// use while jobs wait.
static constexpr double MaxHeadroomShare = 0.25;
/// The same where the headroom is extended because stops take long.
static constexpr double MaxExtendedHeadroomShare = 0.4;

/// How long a step of a job without a run waits for a better placement before
/// it takes any worker that can run it. Stays below the 3 s for which the
/// platform accepts that a job has no run while there is room for it.
static constexpr absl::Duration MaxVoluntaryWait = absl::Seconds(2);

/// Wait of a job without a run from which the reason is logged.
static constexpr absl::Duration FirstWaitReport = absl::Milliseconds(1500);

/// Expected end of a job relative to its latency objective. Jobs with lower
/// values are placed first.
enum class ExpectedLateness { OnTime, Late, TooLate };

/// A step with tasks that can be placed now.
struct Scheduler::Impl::ReadyStep {
  JobEntry *Entry;
  int Occurrence;
  int Step;
  bool IsGuaranteed;
  ExpectedLateness Lateness;
  absl::Time Deadline;
  bool IsOverdue;

  auto sortKey() const {
    return std::make_tuple(this->Entry->Job.Priority, !this->IsGuaranteed,
                           this->Lateness, this->Deadline, this->Entry->Job.Id,
                           this->Occurrence, this->Step);
  }
};

static absl::Time objectiveStart(const BatchJob &Job, int Occurrence) {
  return Job.Schedule.Count > 0 ? Job.dueTime(Occurrence) : Job.Submitted;
}

/// \param Path expected time from now to the end of the job.
static ExpectedLateness expectedLateness(absl::Duration Path, absl::Time Begin,
                                         absl::Duration Objective,
                                         absl::Time Now) {
  absl::Time EarliestEnd = Now + Path;
  if (EarliestEnd <= Begin + Objective)
    return ExpectedLateness::OnTime;
  if (EarliestEnd <= Begin + UsefulObjectives * Objective)
    return ExpectedLateness::Late;
  return ExpectedLateness::TooLate;
}

/// Sets WorkerState::Limit of all workers.
void Scheduler::Impl::limitFaultyWorkers(absl::Time Now) {
  std::map<std::string, std::vector<WorkerId>> Pools;
  if (!this->Failures.isEmpty())
    for (const WorkerState *Worker : this->Fleet.workers())
      if (Worker->mayTakeTasks())
        Pools[Worker->Registration.WorkerPool].push_back(
            Worker->Registration.Id);
  std::map<WorkerId, RunLimit> Limits;
  for (const auto &[Name, Workers] : Pools)
    Limits.merge(this->Failures.limits(Workers, Now));
  for (WorkerState *Worker : this->Fleet.workers()) {
    auto Found = Limits.find(Worker->Registration.Id);
    RunLimit Limit =
        Found == Limits.end() ? RunLimit::Unlimited : Found->second;
    if (Limit != Worker->Limit)
      this->Events.warning("scheduler", "runs fail on a worker, limit changed",
                           {{"worker", Worker->Registration.Id},
                            {"limit", RunLimitNames.nameOf(Limit)}});
    Worker->Limit = Limit;
  }
}

/// Counts the ready tasks of a job that waits for the reports of workers, and
/// logs the wait if it has no run.
void Scheduler::Impl::countAwaitingReports(JobEntry &Entry, absl::Time Now) {
  auto StepCount = static_cast<int>(Entry.Job.Steps.size());
  for (int P = 0; P < static_cast<int>(Entry.Steps.size()); ++P) {
    PlacementRequest Request{&Entry, P / StepCount, P % StepCount, Now};
    int Waiting = Entry.waitingTasks(Request.Occurrence, Request.Step);
    if (Waiting == 0 || Request.waited() < absl::ZeroDuration())
      continue;
    this->WaitingTasks[WaitReason::Reports] += Waiting;
    if (!Entry.hasRuns())
      this->reportWait(Request, WaitReason::Reports);
  }
}

std::vector<Scheduler::Impl::ReadyStep>
Scheduler::Impl::readySteps(absl::Time Now) {
  std::vector<ReadyStep> Ready;
  for (const auto &[Id, Entry] : this->Jobs.all()) {
    const BatchJob &Job = Entry->Job;
    if (isFinal(Entry->Progress.State))
      continue;
    if (Entry->AwaitsReports) {
      this->countAwaitingReports(*Entry, Now);
      continue;
    }
    this->refreshWork(*Entry, Now);
    absl::Duration Path = *std::max_element(Entry->RemainingPaths.begin(),
                                            Entry->RemainingPaths.end());
    absl::Duration Objective = Job.Stretch * Path + Job.TargetLatency;
    bool IsGuaranteed =
        Job.Priority == 0 && this->Search.isWithinGuarantee(Job.Account);
    bool HasRuns = Entry->hasRuns();
    for (int P = 0; P < static_cast<int>(Entry->Steps.size()); ++P) {
      auto StepCount = static_cast<int>(Job.Steps.size());
      int K = P / StepCount;
      int S = P % StepCount;
      const StepEntry &Step = Entry->step(K, S);
      const BatchStep &Spec = Entry->spec(S);
      if (Step.DoneTasks + Step.ActiveTasks >= Spec.TaskCount)
        continue;
      this->HasWaitingWork = true;
      if (Step.ReadySince > Now || (Spec.IsGang && Step.ActiveTasks > 0))
        continue;
      absl::Time Begin = objectiveStart(Job, K);
      Ready.push_back(
          {Entry.get(), K, S, IsGuaranteed,
           expectedLateness(Entry->RemainingPaths[static_cast<size_t>(S)],
                            Begin, Objective, Now),
           Begin + Objective,
           !HasRuns && Now - Step.ReadySince >= MaxVoluntaryWait});
    }
  }
  std::sort(Ready.begin(), Ready.end(),
            [](const ReadyStep &A, const ReadyStep &B) {
              return A.sortKey() < B.sortKey();
            });
  return Ready;
}

void Scheduler::Impl::reserve(const PlacementRequest &Request,
                              const std::vector<int> &Indexes,
                              const TentativePlacement &Placement) {
  JobEntry &Entry = *Request.Entry;
  const BatchStep &Spec = Request.spec();
  ReservedGroup Group{{}, ++this->LastRunNumber, Request.Now};
  ++Entry.PlacementVersion;
  Entry.IsDirty = true;
  for (size_t I = 0; I < Indexes.size(); ++I) {
    TaskKey Task = Request.key(Indexes[I]);
    TaskProgress &Progress =
        Entry.Progress.task(Task.Occurrence, Task.Step, Task.Index);
    Progress.PlacedOn = Placement.placements()[I]->Registration.Id;
    Progress.PlacedRun = Group.Run;
    this->Fleet.addRun({.Task = Task,
                        .Run = Group.Run,
                        .Worker = Placement.placements()[I],
                        .Phase = RunPhase::Reserved,
                        .Need = Spec.PerTask,
                        .Priority = Entry.Job.Priority,
                        .Account = Entry.Job.Account,
                        .IsGangMember = Spec.IsGang,
                        .IsCheckpointing = Spec.IsCheckpointing,
                        .PlacementVersion = Entry.PlacementVersion,
                        .ReservedAt = Request.Now,
                        .StartedAt = Request.Now});
    Group.Tasks.push_back(std::move(Task));
  }
  Entry.step(Request.Occurrence, Request.Step).ActiveTasks +=
      static_cast<int>(Indexes.size());
  for (RunRecord *Victim : Placement.victims()) {
    this->Events.write(LogLevel::Info, "scheduler", "run is preempted",
                       {{"job", Victim->Task.Job},
                        {"run", Victim->Run},
                        {"worker", Victim->Worker->Registration.Id},
                        {"for", Entry.Job.Id},
                        {"guaranteed", Request.IsGuaranteed},
                        {"loss", Placement.loss()}},
                       fmt::format("preempted: {}", Victim->Task.Job.str()));
    this->stopRun(*Victim);
  }
  this->Reserved.push_back(std::move(Group));
}

/// Returns whether enough accelerators stay free for urgent work after the
/// placement. Preemption delays the urgent start and loses the unsaved work of
/// the stopped run. So less urgent jobs leave as many accelerators free as
/// urgent jobs are likely to request soon, up to a share of the pool.
bool Scheduler::Impl::leavesHeadroom(const PlacementRequest &Request,
                                     int Tasks) const {
  const std::string &WorkerPool = Request.Entry->Job.WorkerPool;
  auto Found = this->UrgentArrivals.find(WorkerPool);
  if (Request.Entry->Job.Priority == 0 || Found == this->UrgentArrivals.end())
    return true;
  int64_t Free = 0;
  int64_t Capacity = 0;
  for (const WorkerState *Worker : this->Fleet.workers()) {
    if (Worker->Registration.WorkerPool != WorkerPool ||
        !Worker->mayTakeTasks())
      continue;
    Free += std::max<int64_t>(Worker->free().Accelerators, 0);
    Capacity += Worker->Registration.Capacity.Accelerators;
  }
  absl::Duration Time = this->Settings.UrgentHeadroom;
  absl::Duration Extended =
      this->Settings.HeadroomStopTimeouts * this->Settings.StopTimeout;
  bool IsExtended = Time > absl::ZeroDuration() && Time < Extended;
  double MaxShare = IsExtended ? MaxExtendedHeadroomShare : MaxHeadroomShare;
  double Headroom =
      std::min(Found->second.perSecond(Request.Now) *
                   absl::ToDoubleSeconds(IsExtended ? Extended : Time),
               MaxShare * static_cast<double>(Capacity));
  int64_t Need = Request.spec().PerTask.Accelerators * Tasks;
  return static_cast<double>(Free - Need) >= Headroom;
}

/// Places the waiting tasks of the step.
/// \returns why tasks are left; nullopt if none is.
std::optional<WaitReason> Scheduler::Impl::placeStep(PlacementRequest Request) {
  JobEntry &Entry = *Request.Entry;
  int Count = Request.spec().TaskCount;
  if (Request.spec().IsGang) {
    std::vector<int> All(static_cast<size_t>(Count));
    std::iota(All.begin(), All.end(), 0);
    if (!this->leavesHeadroom(Request, Count))
      return WaitReason::Headroom;
    PlacementOutcome Found = this->Search.findForGang(Request);
    if (!Found.Placement)
      return Found.Reason;
    this->reserve(Request, All, *Found.Placement);
    return std::nullopt;
  }
  for (int I = 0; I < Count; ++I) {
    bool IsWaiting =
        !Entry.Progress.task(Request.Occurrence, Request.Step, I).IsDone &&
        !this->Fleet.runOf(Request.key(I));
    if (!IsWaiting)
      continue;
    if (!this->leavesHeadroom(Request, 1))
      return WaitReason::Headroom;
    PlacementOutcome Found = this->Search.findForTask(Request, I);
    // All tasks of a step need the same, so the next one does not fit either.
    if (!Found.Placement)
      return Found.Reason;
    this->reserve(Request, {I}, *Found.Placement);
    // The job has a run now, so its other tasks may wait for a better worker.
    Request.IsOverdue = false;
  }
  return std::nullopt;
}

void Scheduler::Impl::placeReadyStep(const ReadyStep &Ready, absl::Time Now) {
  JobEntry &Entry = *Ready.Entry;
  PlacementRequest Request{&Entry,
                           Ready.Occurrence,
                           Ready.Step,
                           Now,
                           Entry.Job.Priority == 0,
                           Ready.IsGuaranteed,
                           Ready.IsOverdue};
  Request.AvoidsSlowWorkers = Entry.Job.Priority == 0;
  Request.ExpectedTime =
      Entry.Works[static_cast<size_t>(Ready.Step)].Work.median(
          this->TypicalLogSpeed);
  std::optional<WaitReason> Reason = this->placeStep(Request);
  if (!Reason)
    return;
  if (Reason == WaitReason::Room && this->Search.needsEvacuatedWorkers(Request))
    Reason = WaitReason::Evacuation;
  this->WaitingTasks[*Reason] +=
      Entry.waitingTasks(Ready.Occurrence, Ready.Step);
  if (!Entry.hasRuns())
    this->reportWait(Request, *Reason);
}

/// Logs why a job without a run waits: first after FirstWaitReport, then each
/// time that its wait has doubled.
void Scheduler::Impl::reportWait(const PlacementRequest &Request,
                                 WaitReason Reason) {
  JobEntry &Entry = *Request.Entry;
  if (Request.waited() < std::max(FirstWaitReport, 2 * Entry.ReportedWait))
    return;
  Entry.ReportedWait = Request.waited();
  WorkerExclusions Workers = this->Search.exclusions(Request);
  this->Events.write(LogLevel::Info, "scheduler", "job waits",
                     {{"job", Entry.Job.Id},
                      {"step", Request.Step},
                      {"occurrence", Request.Occurrence},
                      {"waited", Request.waited()},
                      {"reason", WaitReasonNames.nameOf(Reason)},
                      {"data_rack", Request.spec().DataRack},
                      {"free", Workers.Free},
                      {"full", Workers.Full},
                      {"not_usable", Workers.NotUsable},
                      {"draining", Workers.Draining},
                      {"evacuated", Workers.Evacuated},
                      {"limited", Workers.Limited},
                      {"refused", Workers.Refused},
                      {"step_limit", Workers.StepLimit},
                      {"unsuitable", Workers.Unsuitable},
                      {"other_pool", Workers.OtherPool}},
                     fmt::format("waits: {}", Entry.Job.Id.str()));
}

bool Scheduler::Impl::isRecorded(const RunRecord &Run) {
  const JobEntry *Entry = this->Jobs.find(Run.Task.Job);
  return Entry && Run.PlacementVersion <= Entry->RecordedPlacements;
}

bool Scheduler::Impl::hasCapacityNow(
    const std::vector<RunRecord *> &Group) const {
  absl::flat_hash_map<const WorkerState *, Resources> Wanted;
  for (const RunRecord *Run : Group) {
    Resources &Sum = Wanted[Run->Worker];
    Sum += Run->Need;
    if (!(Run->Worker->Occupied + Sum)
             .fitsIn(Run->Worker->Registration.Capacity))
      return false;
  }
  return true;
}

void Scheduler::Impl::launchGroup(const std::vector<RunRecord *> &Group,
                                  absl::Time Now, Orders &Round) {
  for (RunRecord *Run : Group) {
    this->Fleet.beginStart(*Run, Now);
    JobEntry &Entry = *this->Jobs.find(Run->Task.Job);
    const StepEntry &Step = Entry.step(Run->Task.Occurrence, Run->Task.Step);
    Round.Starts.push_back({Run->Worker->Registration.Id, Run->Task, Run->Run,
                            Entry.Job.Specification,
                            Entry.attemptProgress(Run->Task).Checkpoint,
                            Entry.Job.Priority, Now - Step.ReadySince});
  }
  const RunRecord &First = *Group.front();
  const StepEntry &Step = this->Jobs.find(First.Task.Job)
                              ->step(First.Task.Occurrence, First.Task.Step);
  this->Events.write(
      LogLevel::Info, "scheduler", "tasks are started",
      {{"job", First.Task.Job},
       {"step", First.Task.Step},
       {"occurrence", First.Task.Occurrence},
       {"run", First.Run},
       {"tasks", Group.size()},
       {"worker", First.Worker->Registration.Id},
       {"rack", First.Worker->Registration.Rack},
       {"waited", Now - Step.ReadySince}},
      fmt::format("started: {}.{}", First.Task.Job.str(), First.Task.Step));
}

void Scheduler::Impl::launchReservedGroups(absl::Time Now, Orders &Round) {
  std::vector<ReservedGroup> Waiting;
  for (ReservedGroup &Group : this->Reserved) {
    std::vector<RunRecord *> Runs;
    bool CanStart = true;
    bool AreRecorded = true;
    for (const TaskKey &Task : Group.Tasks) {
      RunRecord *Run = this->Fleet.runOf(Task);
      if (!Run || Run->Run != Group.Run || Run->Phase != RunPhase::Reserved)
        continue;
      Runs.push_back(Run);
      CanStart &= Run->Worker->mayTakeTasks();
      AreRecorded &= this->isRecorded(*Run);
    }
    if (Runs.empty())
      continue;
    bool IsComplete = Runs.size() == Group.Tasks.size();
    bool HasExpired =
        Now - Group.ReservedAt > this->Settings.StopTimeout + ReservationSlack;
    if (!CanStart || !IsComplete || HasExpired)
      for (RunRecord *Run : Runs)
        this->endRun(*Run);
    else if (AreRecorded && this->hasCapacityNow(Runs))
      this->launchGroup(Runs, Now, Round);
    else
      Waiting.push_back(std::move(Group));
  }
  this->Reserved = std::move(Waiting);
}

void Scheduler::Impl::collectStops(absl::Time Now, Orders &Round) {
  Round.Stops = std::move(this->OrphanStops);
  this->OrphanStops.clear();
  for (WorkerState *Worker : this->Fleet.workers()) {
    for (RunRecord *Run : Worker->Runs) {
      if (Run->Phase != RunPhase::Stopping || Run->IsStopAccepted ||
          Run->StopSentAt + StopResendInterval > Now)
        continue;
      Run->StopSentAt = Now;
      Round.Stops.push_back({Worker->Registration.Id, Run->Task, Run->Run});
    }
  }
}

Orders Scheduler::plan(absl::Time Now) {
  Impl &I = *this->Implementation;
  Orders Round;
  I.HasWaitingWork = false;
  I.WaitingTasks.clear();
  I.limitFaultyWorkers(Now);
  I.refreshSpeeds(Now);
  I.launchReservedGroups(Now, Round);
  for (const Impl::ReadyStep &Ready : I.readySteps(Now))
    I.placeReadyStep(Ready, Now);
  I.launchReservedGroups(Now, Round);
  I.collectStops(Now, Round);
  I.HasWaitingWork |= !I.Reserved.empty() || !Round.Stops.empty();
  return Round;
}

Orders Scheduler::startRecorded(absl::Time Now) {
  Orders Round;
  this->Implementation->launchReservedGroups(Now, Round);
  return Round;
}

bool Scheduler::hasUnrecordedUrgentPlacements() const {
  Impl &I = *this->Implementation;
  for (const Impl::ReservedGroup &Group : I.Reserved)
    for (const TaskKey &Task : Group.Tasks)
      if (const RunRecord *Run = I.Fleet.runOf(Task))
        if (Run->Run == Group.Run && Run->Priority == 0 && !I.isRecorded(*Run))
          return true;
  return false;
}

} // namespace vanillayard
