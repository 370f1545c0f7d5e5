#include "FleetState.h"

#include <algorithm>
#include <cassert>

namespace vanillayard {

WorkerState &FleetState::upsert(const WorkerRegistration &Registration) {
  std::unique_ptr<WorkerState> &Slot = this->Workers[Registration.Id];
  if (!Slot) {
    Slot = std::make_unique<WorkerState>();
    this->WorkerList.push_back(Slot.get());
  }
  Slot->Registration = Registration;
  Slot->IsEvacuated = this->Evacuated.contains(Registration.DataCentre);
  return *Slot;
}

void FleetState::setEvacuated(absl::flat_hash_set<DataCentreId> DataCentres) {
  this->Evacuated = std::move(DataCentres);
  for (WorkerState *Worker : this->WorkerList)
    Worker->IsEvacuated =
        this->Evacuated.contains(Worker->Registration.DataCentre);
}

WorkerState *FleetState::find(const WorkerId &Id) {
  auto Found = this->Workers.find(Id);
  return Found == this->Workers.end() ? nullptr : Found->second.get();
}

void FleetState::remove(const WorkerId &Id) {
  auto Found = this->Workers.find(Id);
  if (Found == this->Workers.end())
    return;
  assert(Found->second->Runs.empty() &&
         "only a worker without runs can be removed");
  std::erase(this->WorkerList, Found->second.get());
  this->Workers.erase(Found);
}

RunRecord *FleetState::runOf(const TaskKey &Task) {
  auto Found = this->Runs.find(Task);
  return Found == this->Runs.end() ? nullptr : Found->second.get();
}

RunRecord &FleetState::addRun(RunRecord Record) {
  auto Owned = std::make_unique<RunRecord>(std::move(Record));
  RunRecord &Run = *Owned;
  assert(!this->Runs.contains(Run.Task) && "a task has one run at a time");
  Run.Worker->Runs.push_back(&Run);
  Run.Worker->Committed += Run.Need;
  if (Run.Phase != RunPhase::Reserved)
    Run.Worker->Occupied += Run.Need;
  this->Runs.emplace(Run.Task, std::move(Owned));
  return Run;
}

void FleetState::beginStart(RunRecord &Run, absl::Time Now) {
  assert(Run.Phase == RunPhase::Reserved);
  Run.Phase = RunPhase::Starting;
  Run.StartedAt = Now;
  Run.IsStartKnown = true;
  Run.Worker->Occupied += Run.Need;
}

void FleetState::removeRun(RunRecord &Run) {
  WorkerState &Worker = *Run.Worker;
  Worker.Committed -= Run.Need;
  if (Run.Phase != RunPhase::Reserved)
    Worker.Occupied -= Run.Need;
  std::erase(Worker.Runs, &Run);
  this->Runs.erase(TaskKey(Run.Task));
}

int FleetState::countRunsOfStep(const WorkerState &Worker,
                                const TaskKey &Task) {
  return static_cast<int>(std::count_if(
      Worker.Runs.begin(), Worker.Runs.end(), [&](const RunRecord *Run) {
        return Run->Task.Step == Task.Step &&
               Run->Task.Occurrence == Task.Occurrence &&
               Run->Task.Job == Task.Job;
      }));
}

} // namespace vanillayard
