#include "endpoint/testing/FakeWorkerFleet.h"

#include <cassert>
#include <utility>

namespace vanillayard {

WorkerModel &FakeWorkerFleet::add(const Endpoint &Address,
                                  const WorkerModel::Builder &New) {
  auto Model = New.build();
  assert(Model.ok() && "the builder must be valid");
  Worker &Added = this->Workers[Address];
  Added.Model = std::move(*Model);
  return *Added.Model;
}

FakeWorkerFleet::Worker &FakeWorkerFleet::worker(const Endpoint &Address) {
  auto Found = this->Workers.find(Address);
  assert(Found != this->Workers.end() && "the worker must exist");
  return Found->second;
}

WorkerModel &FakeWorkerFleet::model(const Endpoint &Address) {
  return *this->worker(Address).Model;
}

WorkerFaults &FakeWorkerFleet::faults(const Endpoint &Address) {
  return this->worker(Address).Faults;
}

bool FakeWorkerFleet::exists(const Endpoint &Address) const {
  return this->Workers.contains(Address);
}

bool FakeWorkerFleet::isAlive(const Endpoint &Address) const {
  auto Found = this->Workers.find(Address);
  return Found != this->Workers.end() && Found->second.Alive;
}

std::vector<Endpoint> FakeWorkerFleet::addresses() const {
  std::vector<Endpoint> All;
  for (const auto &[Address, Entry] : this->Workers)
    All.push_back(Address);
  return All;
}

void FakeWorkerFleet::kill(const Endpoint &Address) {
  Worker &Killed = this->worker(Address);
  if (!Killed.Alive)
    return;
  Killed.Alive = false;
  Killed.Waiting.clear();
  Killed.Faults.Frozen = false;
  Killed.Model->restart();
  auto Calls = std::exchange(Killed.OnKill, {});
  for (auto &[Call, FailCall] : Calls)
    this->Exec.post(std::move(FailCall));
}

void FakeWorkerFleet::restart(const Endpoint &Address) {
  this->kill(Address);
  this->worker(Address).Alive = true;
}

void FakeWorkerFleet::setFrozen(const Endpoint &Address, bool Frozen) {
  Worker &Target = this->worker(Address);
  Target.Faults.Frozen = Frozen;
  if (Frozen)
    return;
  auto Calls = std::exchange(Target.Waiting, {});
  for (auto &Call : Calls)
    this->Exec.post(std::move(Call));
}

std::vector<ExecutionRecord> FakeWorkerFleet::executions() const {
  std::vector<ExecutionRecord> All;
  for (const auto &[Address, Entry] : this->Workers) {
    const std::vector<ExecutionRecord> &Log = Entry.Model->executions();
    All.insert(All.end(), Log.begin(), Log.end());
  }
  return All;
}

} // namespace vanillayard
