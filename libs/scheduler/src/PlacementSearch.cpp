#include "PlacementSearch.h"

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>

namespace vanillayard {

/// Weight of one accelerator, in cores, when lost work is compared. Taken
/// from the platform's price of work.
static constexpr double CoresPerAccelerator = 8.0;

/// Added to the loss, in core-seconds, for an urgent run of an account that
/// exceeds its guarantee, so that less urgent runs on any worker are stopped
/// first.
static constexpr double UrgentVictimPenalty = 1e6;

/// How long a task waits for a worker near its data, or a gang for one rack, as
/// a share of the time that running remotely would add.
static constexpr double LocalityWaitShare = 0.5;

/// How long a rack without a worker that could hold a task is expected to get
/// one. A new leader knows its workers one after the other.
static constexpr absl::Duration RackAbsenceGrace = absl::Milliseconds(500);

static double coreEquivalents(const Resources &Need) {
  return static_cast<double>(Need.MilliCores) / 1000.0 +
         CoresPerAccelerator * static_cast<double>(Need.Accelerators);
}

bool PlacementSearch::isWithinGuarantee(const ClientAccountId &Account) const {
  auto Found = this->Guarantees.find(Account);
  return Found != this->Guarantees.end() &&
         this->Jobs.urgentDemand(Account) <= Found->second;
}

/// Whether the limit of a worker on which runs have failed allows another run.
static bool isWithinRunLimit(const PlacementRequest &Request,
                             const WorkerState &Worker,
                             const TentativePlacement &Placement) {
  if (Request.IsOverdue || Worker.Limit == RunLimit::Unlimited)
    return true;
  return Worker.Limit == RunLimit::One && Worker.Runs.empty() &&
         Placement.placedOn(Worker) == 0;
}

/// Whether the worker could take the step's tasks if it were empty.
static bool isSuitable(const BatchStep &Step,
                       const WorkerRegistration &Registration) {
  if (!Step.PerTask.fitsIn(Registration.Capacity))
    return false;
  return Step.RequiredLabel.empty() ||
         std::find(Registration.Labels.begin(), Registration.Labels.end(),
                   Step.RequiredLabel) != Registration.Labels.end();
}

bool PlacementSearch::isEligible(const PlacementRequest &Request,
                                 const WorkerState &Worker,
                                 const TentativePlacement &Placement) const {
  const BatchStep &Step = Request.spec();
  const WorkerRegistration &Registration = Worker.Registration;
  if (!Worker.mayTakeTasks() ||
      Registration.WorkerPool != Request.Entry->Job.WorkerPool ||
      Worker.RefusedUntil > Request.Now ||
      !isWithinRunLimit(Request, Worker, Placement) ||
      !isSuitable(Step, Registration))
    return false;
  if (Step.MaxPerWorker == 0)
    return true;
  int Count = FleetState::countRunsOfStep(Worker, Request.key(0)) +
              Placement.placedOn(Worker);
  return Count < Step.MaxPerWorker;
}

bool PlacementSearch::placeTask(const PlacementRequest &Request, int Index,
                                const SearchScope &Scope,
                                TentativePlacement &Placement) {
  const Resources &Need = Request.spec().PerTask;
  auto FailedOn = Request.Entry->FailedOn.find(Request.key(Index));
  WorkerState *Best = nullptr;
  std::tuple<RunLimit, bool, bool, int64_t, int64_t> BestScore;
  for (WorkerState *Worker : this->Fleet.workers()) {
    if (!Scope.Rack.empty() && Worker->Registration.Rack != Scope.Rack)
      continue;
    Resources Left = Placement.free(*Worker) - Need;
    if (!Resources().fitsIn(Left) ||
        !this->isEligible(Request, *Worker, Placement))
      continue;
    bool HasFailedHere = FailedOn != Request.Entry->FailedOn.end() &&
                         FailedOn->second == Worker->Registration.Id;
    std::tuple<RunLimit, bool, bool, int64_t, int64_t> Score(
        Worker->Limit, HasFailedHere,
        Request.AvoidsSlowWorkers && Worker->IsSlow, Left.Accelerators,
        Left.MilliCores);
    if (!Best || Score < BestScore) {
      Best = Worker;
      BestScore = Score;
    }
  }
  if (!Best)
    return Scope.WithPreemption &&
           this->placeByPreemption(Request, Scope, Placement);
  Placement.place(*Best, Need);
  return true;
}

bool PlacementSearch::isVictim(const PlacementRequest &Request,
                               const RunRecord &Run) const {
  bool IsLive =
      Run.Phase == RunPhase::Running || Run.Phase == RunPhase::Starting;
  if (!IsLive)
    return false;
  if (Run.Priority > Request.Entry->Job.Priority)
    return true;
  return Request.IsGuaranteed && Run.Account != Request.Entry->Job.Account &&
         !this->isWithinGuarantee(Run.Account);
}

std::vector<RunRecord *> PlacementSearch::gangOf(const RunRecord &Run) {
  std::vector<RunRecord *> Members;
  if (!Run.IsGangMember)
    return Members;
  auto Found = this->Jobs.all().find(Run.Task.Job);
  if (Found == this->Jobs.all().end())
    return Members;
  TaskKey Key = Run.Task;
  int Count = Found->second->spec(Run.Task.Step).TaskCount;
  for (Key.Index = 0; Key.Index < Count; ++Key.Index)
    if (RunRecord *Member = this->Fleet.runOf(Key))
      if (Member->Run == Run.Run)
        Members.push_back(Member);
  return Members;
}

double PlacementSearch::lossOf(const PlacementRequest &Request,
                               const RunRecord &Run) const {
  absl::Duration Unsaved = Request.Now - Run.StartedAt;
  if (Run.IsCheckpointing)
    Unsaved = std::min(Unsaved, this->Settings.CheckpointInterval);
  double Work = coreEquivalents(Run.Need) * absl::ToDoubleSeconds(Unsaved);
  bool IsUrgent = Run.Priority <= Request.Entry->Job.Priority;
  return IsUrgent ? Work + UrgentVictimPenalty : Work;
}

double PlacementSearch::lossWithGang(const PlacementRequest &Request,
                                     const RunRecord &Run) {
  if (!Run.IsGangMember)
    return this->lossOf(Request, Run);
  double Sum = 0;
  for (const RunRecord *Member : this->gangOf(Run))
    Sum += this->lossOf(Request, *Member);
  return Sum;
}

void PlacementSearch::evictWithGang(const PlacementRequest &Request,
                                    RunRecord &Run,
                                    TentativePlacement &Placement) {
  Placement.evict(Run, this->lossOf(Request, Run));
  for (RunRecord *Member : this->gangOf(Run))
    Placement.evict(*Member, this->lossOf(Request, *Member));
}

/// Returns the runs to stop so that one more task fits on the worker; empty if
/// stopping all candidates does not free enough.
std::vector<RunRecord *>
PlacementSearch::victimsOn(const PlacementRequest &Request, WorkerState &Worker,
                           const TentativePlacement &Placement) {
  std::vector<std::pair<double, RunRecord *>> Candidates;
  for (RunRecord *Run : Worker.Runs)
    if (!Placement.isEvicted(*Run) && this->isVictim(Request, *Run))
      Candidates.emplace_back(this->lossWithGang(Request, *Run), Run);
  std::sort(
      Candidates.begin(), Candidates.end(), [](const auto &A, const auto &B) {
        return std::make_tuple(-A.second->Priority, A.first, A.second->Task) <
               std::make_tuple(-B.second->Priority, B.first, B.second->Task);
      });
  const Resources &Need = Request.spec().PerTask;
  Resources Free = Placement.free(Worker);
  std::vector<RunRecord *> Chosen;
  for (const auto &[Loss, Run] : Candidates) {
    if (Need.fitsIn(Free))
      break;
    Free += Run->Need;
    Chosen.push_back(Run);
  }
  if (!Need.fitsIn(Free))
    return {};
  // Runs chosen later may have freed enough to keep one chosen earlier.
  for (size_t I = 0; I < Chosen.size();) {
    if (Need.fitsIn(Free - Chosen[I]->Need)) {
      Free -= Chosen[I]->Need;
      Chosen.erase(Chosen.begin() + static_cast<ptrdiff_t>(I));
    } else {
      ++I;
    }
  }
  return Chosen;
}

bool PlacementSearch::placeByPreemption(const PlacementRequest &Request,
                                        const SearchScope &Scope,
                                        TentativePlacement &Placement) {
  WorkerState *Best = nullptr;
  std::vector<RunRecord *> BestVictims;
  double BestLoss = std::numeric_limits<double>::infinity();
  for (WorkerState *Worker : this->Fleet.workers()) {
    if (!Scope.Rack.empty() && Worker->Registration.Rack != Scope.Rack)
      continue;
    if (!this->isEligible(Request, *Worker, Placement))
      continue;
    std::vector<RunRecord *> Victims =
        this->victimsOn(Request, *Worker, Placement);
    if (Victims.empty())
      continue;
    double Loss = 0;
    for (const RunRecord *Run : Victims)
      Loss += this->lossWithGang(Request, *Run);
    if (Loss >= BestLoss)
      continue;
    Best = Worker;
    BestVictims = std::move(Victims);
    BestLoss = Loss;
  }
  if (!Best)
    return false;
  for (RunRecord *Run : BestVictims)
    this->evictWithGang(Request, *Run, Placement);
  Placement.place(*Best, Request.spec().PerTask);
  return true;
}

std::optional<TentativePlacement>
PlacementSearch::placeGang(const PlacementRequest &Request,
                           const SearchScope &Scope) {
  TentativePlacement Placement;
  for (int I = 0; I < Request.spec().TaskCount; ++I)
    if (!this->placeTask(Request, I, Scope, Placement))
      return std::nullopt;
  return Placement;
}

std::vector<RackId>
PlacementSearch::racksOfPool(const std::string &WorkerPool) const {
  std::set<RackId> Racks;
  for (const WorkerState *Worker : this->Fleet.workers())
    if (Worker->Registration.WorkerPool == WorkerPool && Worker->IsUsable)
      Racks.insert(Worker->Registration.Rack);
  return {Racks.begin(), Racks.end()};
}

/// Free accelerators on the usable workers of a rack.
static int64_t freeAcceleratorsInRack(const FleetState &Fleet,
                                      const RackId &Rack) {
  int64_t Free = 0;
  for (const WorkerState *Worker : Fleet.workers())
    if (Worker->Registration.Rack == Rack && Worker->IsUsable)
      Free += Worker->free().Accelerators;
  return Free;
}

std::optional<TentativePlacement>
PlacementSearch::placeInBestRack(const PlacementRequest &Request,
                                 bool WithPreemption) {
  std::optional<TentativePlacement> Best;
  std::pair<double, int64_t> BestScore;
  const RackId &DataRack = Request.spec().DataRack;
  for (const RackId &Rack : this->racksOfPool(Request.Entry->Job.WorkerPool)) {
    if (!DataRack.empty() && Rack != DataRack)
      continue;
    std::optional<TentativePlacement> Placement =
        this->placeGang(Request, {Rack, WithPreemption});
    if (!Placement)
      continue;
    std::pair<double, int64_t> Score(Placement->loss(),
                                     freeAcceleratorsInRack(this->Fleet, Rack));
    if (!Best || Score < BestScore) {
      Best = std::move(Placement);
      BestScore = Score;
    }
  }
  return Best;
}

/// Number of tasks of the step that the empty worker can hold.
static int64_t slotsOn(const BatchStep &Step, const Resources &Capacity) {
  int64_t Fits = Step.MaxPerWorker > 0 ? Step.MaxPerWorker : Step.TaskCount;
  const Resources &Need = Step.PerTask;
  if (Need.Accelerators > 0)
    Fits = std::min(Fits, Capacity.Accelerators / Need.Accelerators);
  if (Need.MilliCores > 0)
    Fits = std::min(Fits, Capacity.MilliCores / Need.MilliCores);
  if (Need.MemoryMib > 0)
    Fits = std::min(Fits, Capacity.MemoryMib / Need.MemoryMib);
  return Fits;
}

bool PlacementSearch::needsEvacuatedWorkers(
    const PlacementRequest &Request) const {
  const BatchStep &Step = Request.spec();
  if (this->Fleet.evacuated().empty())
    return false;
  int64_t Wanted = Step.IsGang ? Step.TaskCount : 1;
  int64_t Outside = 0;
  int64_t All = 0;
  for (const WorkerState *Worker : this->Fleet.workers()) {
    const WorkerRegistration &Registration = Worker->Registration;
    if (Registration.WorkerPool != Request.Entry->Job.WorkerPool ||
        Registration.IsDraining || !isSuitable(Step, Registration))
      continue;
    int64_t Slots = slotsOn(Step, Registration.Capacity);
    All += Slots;
    Outside += Worker->IsEvacuated ? 0 : Slots;
  }
  return Outside < Wanted && All >= Wanted;
}

bool PlacementSearch::fitsInOneRack(const PlacementRequest &Request) const {
  const BatchStep &Step = Request.spec();
  absl::flat_hash_map<RackId, int64_t> Slots;
  for (const WorkerState *Worker : this->Fleet.workers()) {
    if (!this->isEligible(Request, *Worker, TentativePlacement()))
      continue;
    if (!Step.DataRack.empty() && Worker->Registration.Rack != Step.DataRack)
      continue;
    int64_t Fits = slotsOn(Step, Worker->Registration.Capacity);
    if (Worker->Limit == RunLimit::One && !Request.IsOverdue)
      Fits = std::min<int64_t>(Fits, 1);
    if ((Slots[Worker->Registration.Rack] += Fits) >= Step.TaskCount)
      return true;
  }
  return false;
}

bool PlacementSearch::canDataRackHold(const PlacementRequest &Request) const {
  if (Request.waited() < RackAbsenceGrace)
    return true;
  const BatchStep &Step = Request.spec();
  const std::vector<WorkerState *> &Workers = this->Fleet.workers();
  return std::any_of(
      Workers.begin(), Workers.end(), [&](const WorkerState *Worker) {
        const WorkerRegistration &Registration = Worker->Registration;
        return Registration.Rack == Step.DataRack && Worker->mayTakeTasks() &&
               Registration.WorkerPool == Request.Entry->Job.WorkerPool &&
               isSuitable(Step, Registration);
      });
}

bool PlacementSearch::mayWaitForLocality(
    const PlacementRequest &Request) const {
  absl::Duration Longest = LocalityWaitShare *
                           (this->Settings.RemoteSlowdown - 1.0) *
                           Request.ExpectedTime;
  return !Request.MayPreempt && !Request.IsOverdue &&
         Request.waited() < Longest;
}

PlacementOutcome PlacementSearch::findForGang(const PlacementRequest &Request) {
  const BatchStep &Step = Request.spec();
  bool WantsOneRack = Step.PrefersSameRack || !Step.DataRack.empty();
  if (WantsOneRack && this->fitsInOneRack(Request)) {
    if (std::optional<TentativePlacement> Placement =
            this->placeInBestRack(Request, false))
      return {std::move(Placement)};
    if (Request.MayPreempt)
      if (std::optional<TentativePlacement> Placement =
              this->placeInBestRack(Request, true))
        return {std::move(Placement)};
    if (this->mayWaitForLocality(Request))
      return {std::nullopt, WaitReason::Locality};
  }
  if (std::optional<TentativePlacement> Placement =
          this->placeGang(Request, {}))
    return {std::move(Placement)};
  if (!Request.MayPreempt)
    return {};
  return {this->placeGang(Request, {RackId(), true})};
}

PlacementOutcome PlacementSearch::findForTask(const PlacementRequest &Request,
                                              int Index) {
  const BatchStep &Step = Request.spec();
  TentativePlacement Placement;
  if (!Step.DataRack.empty()) {
    SearchScope DataRackOnly{Step.DataRack, Request.MayPreempt};
    if (this->placeTask(Request, Index, DataRackOnly, Placement))
      return {std::move(Placement)};
    if (this->mayWaitForLocality(Request) && this->canDataRackHold(Request))
      return {std::nullopt, WaitReason::Locality};
  }
  if (this->placeTask(Request, Index, {RackId(), Request.MayPreempt},
                      Placement))
    return {std::move(Placement)};
  return {};
}

WorkerExclusions
PlacementSearch::exclusions(const PlacementRequest &Request) const {
  WorkerExclusions Counts;
  const BatchStep &Step = Request.spec();
  for (const WorkerState *Worker : this->Fleet.workers()) {
    const WorkerRegistration &Registration = Worker->Registration;
    if (Registration.WorkerPool != Request.Entry->Job.WorkerPool)
      ++Counts.OtherPool;
    else if (!Worker->IsUsable)
      ++Counts.NotUsable;
    else if (Registration.IsDraining)
      ++Counts.Draining;
    else if (Worker->IsEvacuated)
      ++Counts.Evacuated;
    else if (!isSuitable(Step, Registration))
      ++Counts.Unsuitable;
    else if (!isWithinRunLimit(Request, *Worker, TentativePlacement()))
      ++Counts.Limited;
    else if (Worker->RefusedUntil > Request.Now)
      ++Counts.Refused;
    else if (!this->isEligible(Request, *Worker, TentativePlacement()))
      ++Counts.StepLimit;
    else if (!Step.PerTask.fitsIn(Worker->free()))
      ++Counts.Full;
    else
      ++Counts.Free;
  }
  return Counts;
}

} // namespace vanillayard
