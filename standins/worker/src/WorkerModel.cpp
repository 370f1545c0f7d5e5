#include "standin_worker/WorkerModel.h"

#include "WorkerLease.h"
#include "base/AbslView.h"
#include "base/ErrorKind.h"

#include <fmt/format.h>

#include <algorithm>

namespace vanillayard {

using Builder = WorkerModel::Builder;

Builder &Builder::name(WorkerId Value) {
  this->Name = std::move(Value);
  return *this;
}

Builder &Builder::rack(RackId Value) {
  this->Rack = std::move(Value);
  return *this;
}

Builder &Builder::slots(int Value) {
  this->Slots = Value;
  return *this;
}

Builder &Builder::connections(int Value) {
  this->Connections = Value;
  return *this;
}

Builder &Builder::accelerators(int Value) {
  this->Accelerators = Value;
  return *this;
}

Builder &Builder::defaultRunTime(absl::Duration Value) {
  this->DefaultRunTime = Value;
  return *this;
}

Builder &Builder::checkpointTime(absl::Duration Value) {
  this->CheckpointTime = Value;
  return *this;
}

Builder &Builder::usageLag(absl::Duration Value) {
  this->UsageLag = Value;
  return *this;
}

Builder &Builder::incarnation(std::string Value) {
  this->Incarnation = std::move(Value);
  return *this;
}

absl::StatusOr<std::unique_ptr<WorkerModel>> Builder::build() const {
  if (this->Name.empty())
    return absl::InvalidArgumentError("the worker has no name");
  if (this->Slots < 0 || this->Connections < 0 || this->Accelerators < 0)
    return absl::InvalidArgumentError(
        "slots, connections and accelerators must not be negative");
  return std::unique_ptr<WorkerModel>(new WorkerModel(*this));
}

WorkerModel::WorkerModel(const Builder &Options)
    : Options(Options), Exec(*Options.Exec),
      Incarnation(Options.Incarnation.empty() ? Options.Name.str()
                                              : Options.Incarnation) {}

WorkerModel::~WorkerModel() {
  this->restart();
}

WorkerModel::Lease *WorkerModel::find(const LeaseId &Id) const {
  for (const LeaseMap *Map : {&this->Leases, &this->RunResults}) {
    auto Found = Map->find(Id);
    if (Found != Map->end())
      return Found->second.get();
  }
  return nullptr;
}

int WorkerModel::freeSlots() const {
  int Free = this->Options.Slots;
  for (const auto &[Id, L] : this->Leases)
    if (L->isActive())
      Free -= L->Report.Slots;
  return Free;
}

int WorkerModel::waitingCalls() const {
  size_t Count = 0;
  for (const auto &[Id, L] : this->Leases)
    Count += L->Waiters.size();
  return static_cast<int>(Count);
}

LeaseReport WorkerModel::report(const Lease &L) const {
  LeaseReport Report = L.Report;
  if (Report.State == LeaseState::Running)
    Report.RunTime = this->Exec.now() - L.StartedAt;
  else if (Report.State != LeaseState::Held)
    Report.RunTime = L.EndedAt - L.StartedAt;
  return Report;
}

LeaseReport WorkerModel::reportTombstone(const LeaseId &Id) const {
  LeaseReport Report;
  Report.Lease = Id;
  auto Found = this->Tombstones.find(Id);
  if (Found != this->Tombstones.end())
    Report.State = Found->second.State;
  return Report;
}

WorkerStatus WorkerModel::status() const {
  WorkerStatus Status;
  Status.Worker = this->Options.Name;
  Status.Rack = this->Options.Rack;
  Status.Incarnation = this->Incarnation;
  Status.Draining = this->Draining;
  Status.Slots = this->Options.Slots;
  Status.FreeSlots = this->freeSlots();
  Status.Connections = this->Options.Connections;
  Status.FreeConnections = this->Options.Connections - this->waitingCalls();
  Status.Accelerators = this->Options.Accelerators;
  for (const auto &[Id, L] : this->Leases)
    Status.Leases.push_back(this->report(*L));
  Status.Usage = this->laggedUsage();
  Status.UsageLag = this->Options.UsageLag;
  return Status;
}

std::string WorkerModel::version() const {
  absl::Time Visible = this->Exec.now() - this->Options.UsageLag;
  auto Pending =
      std::count_if(this->UsageSamples.begin(), this->UsageSamples.end(),
                    [&](const UsageSample &S) { return S.At > Visible; });
  return fmt::format("{}-{}-{}", this->Incarnation, this->ChangeCount, Pending);
}

void WorkerModel::recordChange() {
  ++this->ChangeCount;
  absl::Time Now = this->Exec.now();
  absl::Time Visible = Now - this->Options.UsageLag;
  while (this->UsageSamples.size() > 1 && this->UsageSamples[1].At <= Visible)
    this->UsageSamples.pop_front();
  double Used = this->Options.Slots - this->freeSlots();
  double Share = this->Options.Slots > 0 ? Used / this->Options.Slots : 0;
  this->UsageSamples.push_back({Now, Share});
}

double WorkerModel::laggedUsage() const {
  absl::Time Visible = this->Exec.now() - this->Options.UsageLag;
  double Share = 0;
  for (const UsageSample &Sample : this->UsageSamples)
    if (Sample.At <= Visible)
      Share = Sample.Share;
  return Share;
}

void WorkerModel::setDraining(bool Value) {
  this->Draining = Value;
  this->recordChange();
}

void WorkerModel::restart() {
  for (auto &[Id, L] : this->Leases) {
    this->Exec.cancel(L->ExpiryTimer);
    this->Exec.cancel(L->EndTimer);
    this->Exec.cancel(L->CheckpointTimer);
    if (L->Report.State != LeaseState::Running)
      continue;
    this->ExecutionLog[L->LogIndex].Ended = this->Exec.now();
    this->ExecutionLog[L->LogIndex].State = LeaseState::Unknown;
  }
  for (auto &[Id, Ended] : this->RunResults)
    this->Exec.cancel(Ended->EndTimer);
  this->Leases.clear();
  this->RunResults.clear();
  this->Tombstones.clear();
  this->TombstoneOrder.clear();
  std::string First = this->Options.Incarnation.empty()
                          ? this->Options.Name.str()
                          : this->Options.Incarnation;
  this->Incarnation = fmt::format("{}.{}", First, ++this->Restarts);
  this->Draining = false;
  this->recordChange();
}

void WorkerModel::replaceWithTombstone(const LeaseId &Id, LeaseState State,
                                       RevokeResult RevokeAnswer) {
  this->dropExpiredTombstones();
  if (Lease *L = this->find(Id)) {
    this->Exec.cancel(L->ExpiryTimer);
    this->Exec.cancel(L->EndTimer);
    this->Exec.cancel(L->CheckpointTimer);
    this->Leases.erase(Id);
    this->RunResults.erase(Id);
  }
  this->Tombstones[Id] = Tombstone{State, RevokeAnswer};
  this->TombstoneOrder.emplace_back(this->Exec.now(), Id);
  this->recordChange();
}

void WorkerModel::dropExpiredTombstones() {
  absl::Time Oldest = this->Exec.now() - TombstoneRetention;
  while (!this->TombstoneOrder.empty() &&
         this->TombstoneOrder.front().first < Oldest) {
    this->Tombstones.erase(this->TombstoneOrder.front().second);
    this->TombstoneOrder.pop_front();
  }
}

absl::Status WorkerModel::checkEpoch(Lease &L, const Epoch &Holder) {
  if (Holder < L.Report.Holder)
    return makeError(ErrorKind::Conflict,
                     "the lease is held under a higher epoch");
  if (L.Report.Holder != Holder)
    ++this->ChangeCount;
  L.Report.Holder = Holder;
  return absl::OkStatus();
}

absl::Status WorkerModel::admit(const LeaseRequest &Request) const {
  if (Request.Lease.empty() || Request.Slots < 0)
    return makeError(
        ErrorKind::NoCapacity,
        "the lease id is empty or the number of slots is negative");
  if (this->Draining)
    return makeError(ErrorKind::NoCapacity, "the worker is draining");
  if (this->freeSlots() < Request.Slots)
    return makeError(ErrorKind::NoCapacity, "not enough free slots");
  for (int Index : Request.Accelerators) {
    if (Index < 0 || Index >= this->Options.Accelerators ||
        std::count(Request.Accelerators.begin(), Request.Accelerators.end(),
                   Index) != 1)
      return makeError(ErrorKind::NoCapacity,
                       "an accelerator index is out of range or repeated");
    for (const auto &[Id, L] : this->Leases) {
      const std::vector<int> &Used = L->Report.Accelerators;
      if (L->isActive() &&
          std::find(Used.begin(), Used.end(), Index) != Used.end())
        return makeError(ErrorKind::NoCapacity,
                         "a requested accelerator is in use");
    }
  }
  return absl::OkStatus();
}

WorkerModel::Lease &WorkerModel::insert(const LeaseRequest &Request) {
  auto New = std::make_unique<Lease>();
  LeaseReport &Report = New->Report;
  Report.Lease = Request.Lease;
  Report.Owner = Request.Owner;
  Report.Account = Request.Account;
  Report.Kind = Request.Kind;
  Report.Slots = Request.Slots;
  Report.Accelerators = Request.Accelerators;
  Report.Holder = Request.Holder;
  Report.GangSize = Request.GangSize;
  Report.Member = Request.Member;
  Report.Reclaimable = Request.Reclaimable;
  Report.State = LeaseState::Held;
  Lease &L = *New;
  this->Leases[Request.Lease] = std::move(New);
  this->armExpiry(L, Request.Ttl);
  this->recordChange();
  return L;
}

absl::StatusOr<LeaseReport>
WorkerModel::reacquire(Lease &L, const LeaseRequest &Request) {
  if (L.Report.Owner != Request.Owner)
    return makeError(ErrorKind::Conflict, "the lease has another owner");
  if (absl::Status Fresh = this->checkEpoch(L, Request.Holder); !Fresh.ok())
    return Fresh;
  if (L.isActive())
    this->armExpiry(L, Request.Ttl);
  return this->report(L);
}

absl::StatusOr<LeaseReport> WorkerModel::acquire(const LeaseRequest &Request) {
  if (this->Tombstones.contains(Request.Lease))
    return makeError(ErrorKind::Conflict, "the lease was revoked or has ended");
  if (Lease *L = this->find(Request.Lease))
    return this->reacquire(*L, Request);
  if (absl::Status Admitted = this->admit(Request); !Admitted.ok())
    return Admitted;
  return this->report(this->insert(Request));
}

RenewResult WorkerModel::renew(const std::vector<LeaseId> &Ids,
                               const Epoch &Holder, absl::Duration Ttl) {
  RenewResult Result;
  for (const LeaseId &Id : Ids) {
    Lease *L = this->find(Id);
    if (!L || !this->checkEpoch(*L, Holder).ok()) {
      Result.Refused.push_back(Id);
      continue;
    }
    if (L->isActive())
      this->armExpiry(*L, Ttl);
    Result.Renewed.push_back(Id);
  }
  Result.Status = this->status();
  return Result;
}

} // namespace vanillayard
