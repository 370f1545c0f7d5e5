#include "SchedulerImpl.h"
#include "observe/Log.h"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>
#include <tuple>

namespace vanillayard {

/// A stop without an answer is sent again after this time.
static constexpr absl::Duration StopRepeat = absl::Milliseconds(700);
/// A reservation whose room has not become free after this time, beyond the
/// time that workers need for stops, is given up.
static constexpr absl::Duration ReservationSlack = absl::Seconds(2);
/// A job that ends later than this many objectives after its submission is of
/// no use to its caller any more. From the platform's terms of service.
static constexpr double UsefulObjectives = 3.0;

/// Largest share of a service's accelerators that is kept free for urgent work.
/// It stays below the half of a service that the platform expects to be used
/// while jobs wait.
static constexpr double LargestHeadroomShare = 0.25;

/// How much a job can still win; lower values go first.
enum class Prospect { OnTime, Late, TooLate };

/// A step with tasks that may start.
struct Scheduler::Impl::ReadyStep {
  JobEntry *Entry;
  int Occurrence;
  int Step;
  bool IsGuaranteed;
  Prospect Chance;
  absl::Time Deadline;

  auto order() const {
    return std::make_tuple(this->Entry->Job.Priority, !this->IsGuaranteed,
                           this->Chance, this->Deadline, this->Entry->Job.Id,
                           this->Occurrence, this->Step);
  }
};

static absl::Time beginOf(const BatchJob &Job, int Occurrence) {
  return Job.Schedule.Count > 0 ? Job.dueTime(Occurrence) : Job.Submitted;
}

static Prospect prospectOf(const BatchJob &Job, absl::Time Begin,
                           absl::Duration Objective, absl::Time Now) {
  absl::Time EarliestEnd = Now + Job.longestChain();
  if (EarliestEnd <= Begin + Objective)
    return Prospect::OnTime;
  if (EarliestEnd <= Begin + UsefulObjectives * Objective)
    return Prospect::Late;
  return Prospect::TooLate;
}

std::vector<Scheduler::Impl::ReadyStep>
Scheduler::Impl::readySteps(absl::Time Now) {
  std::vector<ReadyStep> Ready;
  for (const auto &[Id, Entry] : this->Jobs.all()) {
    const BatchJob &Job = Entry->Job;
    if (isFinal(Entry->Progress.State) || Entry->AwaitsReports)
      continue;
    absl::Duration Objective =
        Job.Stretch * Job.longestChain() + Job.TargetLatency;
    bool IsGuaranteed =
        Job.Priority == 0 && this->Search.isWithinGuarantee(Job.Account);
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
      absl::Time Begin = beginOf(Job, K);
      Ready.push_back({Entry.get(), K, S, IsGuaranteed,
                       prospectOf(Job, Begin, Objective, Now),
                       Begin + Objective});
    }
  }
  std::sort(Ready.begin(), Ready.end(),
            [](const ReadyStep &A, const ReadyStep &B) {
              return A.order() < B.order();
            });
  return Ready;
}

void Scheduler::Impl::reserve(const PlacementRequest &Request,
                              const std::vector<int> &Indexes,
                              const RoomTrial &Trial) {
  JobEntry &Entry = *Request.Entry;
  const BatchStep &Spec = Request.spec();
  ReservedGroup Group{{}, ++this->NextRun, Request.Now};
  for (size_t I = 0; I < Indexes.size(); ++I) {
    TaskKey Task = Request.key(Indexes[I]);
    this->Fleet.addRun({.Task = Task,
                        .Run = Group.Run,
                        .Worker = Trial.placements()[I],
                        .Phase = RunPhase::Reserved,
                        .Need = Spec.PerTask,
                        .Priority = Entry.Job.Priority,
                        .Account = Entry.Job.Account,
                        .IsGangMember = Spec.IsGang,
                        .IsCheckpointing = Spec.IsCheckpointing,
                        .ReservedAt = Request.Now,
                        .StartedAt = Request.Now});
    Group.Tasks.push_back(std::move(Task));
  }
  Entry.step(Request.Occurrence, Request.Step).ActiveTasks +=
      static_cast<int>(Indexes.size());
  for (RunRecord *Victim : Trial.victims()) {
    this->Events.write(LogLevel::Info, "scheduler", "run is preempted",
                       {{"job", Victim->Task.Job},
                        {"run", Victim->Run},
                        {"worker", Victim->Worker->Entry.Id},
                        {"for", Entry.Job.Id},
                        {"guaranteed", Request.IsGuaranteed},
                        {"loss", Trial.loss()}},
                       fmt::format("preempted: {}", Victim->Task.Job.str()));
    this->stopRun(*Victim);
  }
  this->Reserved.push_back(std::move(Group));
}

/// Stopping a run for urgent work takes time that urgent work does not have,
/// and loses what the run has not saved. So less urgent work leaves as much
/// room free as urgent work is likely to ask for soon, up to a share of the
/// service's room.
bool Scheduler::Impl::leavesHeadroom(const PlacementRequest &Request,
                                     int Tasks) const {
  const std::string &Service = Request.Entry->Job.Service;
  auto Found = this->UrgentArrivals.find(Service);
  if (Request.Entry->Job.Priority == 0 || Found == this->UrgentArrivals.end())
    return true;
  int64_t Free = 0;
  int64_t Capacity = 0;
  for (const WorkerState *Worker : this->Fleet.workers()) {
    if (Worker->Entry.Service != Service || !Worker->IsUsable ||
        Worker->Entry.IsDraining)
      continue;
    Free += std::max<int64_t>(Worker->free().Accelerators, 0);
    Capacity += Worker->Entry.Capacity.Accelerators;
  }
  double Headroom =
      std::min(Found->second.perSecond(Request.Now) *
                   absl::ToDoubleSeconds(this->Terms.UrgentHeadroom),
               LargestHeadroomShare * static_cast<double>(Capacity));
  int64_t Need = Request.spec().PerTask.Accelerators * Tasks;
  return static_cast<double>(Free - Need) >= Headroom;
}

void Scheduler::Impl::placeStep(const ReadyStep &Ready, absl::Time Now) {
  JobEntry &Entry = *Ready.Entry;
  PlacementRequest Request{&Entry, Ready.Occurrence,        Ready.Step,
                           Now,    Entry.Job.Priority == 0, Ready.IsGuaranteed};
  int Count = Request.spec().TaskCount;
  if (Request.spec().IsGang) {
    std::vector<int> All(static_cast<size_t>(Count));
    std::iota(All.begin(), All.end(), 0);
    if (!this->leavesHeadroom(Request, Count))
      return;
    if (std::optional<RoomTrial> Trial = this->Search.findForGang(Request))
      this->reserve(Request, All, *Trial);
    return;
  }
  for (int I = 0; I < Count; ++I) {
    bool IsWaiting =
        !Entry.Progress.task(Ready.Occurrence, Ready.Step, I).IsDone &&
        !this->Fleet.runOf(Request.key(I));
    if (!IsWaiting)
      continue;
    if (!this->leavesHeadroom(Request, 1))
      return;
    std::optional<RoomTrial> Trial = this->Search.findForTask(Request, I);
    // The tasks of a step are equal, so the next one does not fit either.
    if (!Trial)
      return;
    this->reserve(Request, {I}, *Trial);
  }
}

bool Scheduler::Impl::hasRoomNow(const std::vector<RunRecord *> &Group) const {
  absl::flat_hash_map<const WorkerState *, Resources> Wanted;
  for (const RunRecord *Run : Group) {
    Resources &Sum = Wanted[Run->Worker];
    Sum += Run->Need;
    if (!(Run->Worker->Present + Sum).fitsIn(Run->Worker->Entry.Capacity))
      return false;
  }
  return true;
}

void Scheduler::Impl::launch(const std::vector<RunRecord *> &Group,
                             absl::Time Now, Orders &Round) {
  for (RunRecord *Run : Group) {
    this->Fleet.beginStart(*Run, Now);
    JobEntry &Entry = *this->Jobs.find(Run->Task.Job);
    if (Entry.Progress.State == BatchState::Queued) {
      Entry.Progress.State = BatchState::Running;
      Entry.IsDirty = true;
    }
    const StepEntry &Step = Entry.step(Run->Task.Occurrence, Run->Task.Step);
    Round.Starts.push_back({Run->Worker->Entry.Id, Run->Task, Run->Run,
                            Entry.Job.Specification,
                            Entry.account(Run->Task).Checkpoint,
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
       {"worker", First.Worker->Entry.Id},
       {"rack", First.Worker->Entry.Rack},
       {"waited", Now - Step.ReadySince}},
      fmt::format("started: {}.{}", First.Task.Job.str(), First.Task.Step));
}

void Scheduler::Impl::launchGroups(absl::Time Now, Orders &Round) {
  std::vector<ReservedGroup> Waiting;
  for (ReservedGroup &Group : this->Reserved) {
    std::vector<RunRecord *> Runs;
    bool IsPossible = true;
    for (const TaskKey &Task : Group.Tasks) {
      RunRecord *Run = this->Fleet.runOf(Task);
      if (!Run || Run->Run != Group.Run || Run->Phase != RunPhase::Reserved)
        continue;
      Runs.push_back(Run);
      IsPossible &= Run->Worker->IsUsable && !Run->Worker->Entry.IsDraining;
    }
    if (Runs.empty())
      continue;
    bool IsWhole = Runs.size() == Group.Tasks.size();
    bool HasExpired =
        Now - Group.Since > this->Terms.StopTimeout + ReservationSlack;
    if (!IsPossible || !IsWhole || HasExpired)
      for (RunRecord *Run : Runs)
        this->endRun(*Run);
    else if (this->hasRoomNow(Runs))
      this->launch(Runs, Now, Round);
    else
      Waiting.push_back(std::move(Group));
  }
  this->Reserved = std::move(Waiting);
}

void Scheduler::Impl::collectStops(absl::Time Now, Orders &Round) {
  Round.Stops = std::move(this->StrayStops);
  this->StrayStops.clear();
  for (WorkerState *Worker : this->Fleet.workers()) {
    for (RunRecord *Run : Worker->Runs) {
      if (Run->Phase != RunPhase::Stopping || Run->IsStopAnswered ||
          Run->StopSentAt + StopRepeat > Now)
        continue;
      Run->StopSentAt = Now;
      Round.Stops.push_back({Worker->Entry.Id, Run->Task, Run->Run});
    }
  }
}

Orders Scheduler::plan(absl::Time Now) {
  Impl &I = *this->Implementation;
  Orders Round;
  I.HasWaitingWork = false;
  I.launchGroups(Now, Round);
  for (const Impl::ReadyStep &Ready : I.readySteps(Now))
    I.placeStep(Ready, Now);
  I.launchGroups(Now, Round);
  I.collectStops(Now, Round);
  I.HasWaitingWork |= !I.Reserved.empty() || !Round.Stops.empty();
  return Round;
}

} // namespace vanillayard
