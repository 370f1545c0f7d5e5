#include "WorkerTable.h"

#include <algorithm>

namespace vanillayard {

// Age of a view at which a worker that looks full is probed again: requests of
// other hosts may have ended since, and a refusal costs one short call.
static constexpr absl::Duration StaleViewAge = absl::Milliseconds(250);
// The same for urgent requests, for which waiting for a new view costs more
// than a refusal. The urgent reserve leaves a free slot on most workers, so few
// probes are refused.
static constexpr absl::Duration StaleViewAgeForUrgent = absl::Milliseconds(20);

WorkerTable::WorkerTable(std::unique_ptr<WorkerSelector> Selector,
                         std::unique_ptr<WorkerHealth> Health,
                         ConcurrencyControl Control)
    : Selector(std::move(Selector)), Health(std::move(Health)),
      Control(Control) {}

size_t WorkerTable::indexFor(const WorkerId &Id) {
  auto Found = this->Index.find(Id);
  if (Found != this->Index.end())
    return Found->second;
  size_t New = 0;
  while (New < this->Workers.size() &&
         (this->Workers[New].Present || this->Candidates[New].InFlight > 0))
    ++New;
  if (New == this->Workers.size()) {
    this->Workers.emplace_back();
    this->Candidates.emplace_back();
  }
  this->Workers[New].Present = true;
  this->Workers[New].Limiter = ConcurrencyLimiter::create(this->Control);
  this->Health->add(New);
  this->Index[Id] = New;
  return New;
}

void WorkerTable::update(const WorkerCapacity &View, absl::Time Now) {
  size_t I = this->indexFor(View.Id);
  Worker &W = this->Workers[I];
  W.View = View;
  W.Limiter->setBound(View.Slots, View.Connections);
  this->setFreeSlots(I, View.FreeSlots, Now);
}

void WorkerTable::remove(const WorkerId &Id) {
  auto Found = this->Index.find(Id);
  if (Found == this->Index.end())
    return;
  size_t I = Found->second;
  this->Index.erase(Found);
  this->Workers[I].Present = false;
  this->Health->remove(I);
  this->Candidates[I].Limit = 0;
  this->updateTotals(I);
}

void WorkerTable::setFreeSlots(size_t I, int FreeSlots, absl::Time Now) {
  Worker &W = this->Workers[I];
  W.ViewTime = Now;
  ++W.ViewSerial;
  this->Candidates[I].FreeSlots = FreeSlots;
  this->Candidates[I].SentSinceReport = 0;
  this->refresh(I, Now);
}

void WorkerTable::refresh(size_t I, absl::Time Now) {
  const Worker &W = this->Workers[I];
  WorkerCandidate &C = this->Candidates[I];
  C.Draining = W.View.Draining;
  C.Limit = !W.Present || W.View.Ejected
                ? 0
                : std::min(W.Limiter->limit(), this->Health->allowance(I, Now));
  this->updateTotals(I);
}

void WorkerTable::updateTotals(size_t I) {
  Worker &W = this->Workers[I];
  const WorkerCandidate &C = this->Candidates[I];
  bool InUse = W.Present && !C.Draining && !W.View.Ejected;
  int Available =
      C.isUsable() ? std::min(C.estimatedFreeSlots(), C.Limit - C.InFlight) : 0;
  int Slots = InUse ? W.View.Slots : 0;
  this->AvailableSlotTotal += Available - W.Available;
  this->SlotTotal += Slots - W.Slots;
  W.Available = Available;
  W.Slots = Slots;
}

std::optional<WorkerTable::Reservation>
WorkerTable::reserve(std::span<const size_t> Avoid, bool Urgent) {
  auto Chosen = this->Selector->pick(this->Candidates, Avoid);
  if (!Chosen)
    return std::nullopt;
  ++this->InFlightTotal;
  this->UrgentInFlight += Urgent;
  ++this->Candidates[*Chosen].InFlight;
  ++this->Candidates[*Chosen].SentSinceReport;
  this->updateTotals(*Chosen);
  return Reservation{*Chosen, this->Workers[*Chosen].ViewSerial, Urgent};
}

bool WorkerTable::isShareUsed(double ReserveShare, double SlotShare) const {
  int Others = this->InFlightTotal - this->UrgentInFlight;
  double MaxOthers = this->SlotTotal * (1 - ReserveShare) * SlotShare;
  return Others >= std::max(MaxOthers, 1.0);
}

bool WorkerTable::isOnlyUrgentAllowed(double ReserveShare,
                                      double SlotShare) const {
  if (this->isShareUsed(ReserveShare, SlotShare))
    return true;
  // Views do not show which of the used slots run urgent work of other hosts.
  // Callers are spread over the hosts at random, so the share of urgent
  // requests on this host is taken for all hosts: a flood of urgent work fills
  // the reserve, and the other free slots remain usable for all work.
  int Used = this->SlotTotal - this->AvailableSlotTotal;
  double OtherShare =
      this->InFlightTotal == 0
          ? 1
          : 1 - static_cast<double>(this->UrgentInFlight) / this->InFlightTotal;
  return Used * OtherShare >= this->SlotTotal * (1 - ReserveShare);
}

void WorkerTable::release(const Reservation &Slot, int FreeSlots,
                          absl::Time Now) {
  WorkerCandidate &C = this->Candidates[Slot.Worker];
  Worker &W = this->Workers[Slot.Worker];
  --this->InFlightTotal;
  this->UrgentInFlight -= Slot.Urgent;
  --C.InFlight;
  if (FreeSlots >= 0)
    return this->setFreeSlots(Slot.Worker, FreeSlots, Now);
  // If the view is newer than the reservation, its free slots already exclude
  // the slot of this request.
  if (Slot.ViewSerial == W.ViewSerial)
    --C.SentSinceReport;
  else
    C.FreeSlots = std::min(C.FreeSlots + 1, W.View.Slots);
  this->refresh(Slot.Worker, Now);
}

void WorkerTable::onSuccess(size_t I, absl::Time Now) {
  if (!this->Workers[I].Present)
    return;
  this->Workers[I].Limiter->onSuccess(this->Candidates[I].InFlight);
  this->Health->onSuccess(I, Now);
  this->refresh(I, Now);
}

void WorkerTable::onFailure(size_t I, std::span<const size_t> FailedBefore,
                            absl::Time Now) {
  if (!this->Workers[I].Present)
    return;
  this->Health->onFailure(I, FailedBefore, Now);
  this->refresh(I, Now);
}

void WorkerTable::onRefused(size_t I, absl::Time Now) {
  // A refusal means that other hosts use the slots, not that the worker is
  // overloaded, so the concurrency limit stays. A lower limit could fall below
  // the number of requests in flight and block urgent work until long tasks
  // end.
  this->setFreeSlots(I, 0, Now);
}

void WorkerTable::onAnswerLost(size_t I, absl::Time Now) {
  this->Workers[I].Limiter->onOverload(Now);
  this->refresh(I, Now);
}

bool WorkerTable::allowProbeOfOldestView(absl::Time Now) {
  std::optional<size_t> Oldest;
  for (size_t I = 0; I < this->Workers.size(); ++I) {
    const Worker &W = this->Workers[I];
    const WorkerCandidate &C = this->Candidates[I];
    if (!W.Present || C.Draining || C.InFlight >= C.Limit ||
        Now - W.ViewTime < StaleViewAgeForUrgent)
      continue;
    if (!Oldest || W.ViewTime < this->Workers[*Oldest].ViewTime)
      Oldest = I;
  }
  if (!Oldest)
    return false;
  this->Candidates[*Oldest].FreeSlots =
      this->Candidates[*Oldest].SentSinceReport + 1;
  this->Workers[*Oldest].ViewTime = Now;
  this->refresh(*Oldest, Now);
  return this->AvailableSlotTotal > 0;
}

void WorkerTable::refreshAll(absl::Time Now) {
  for (size_t I = 0; I < this->Workers.size(); ++I) {
    Worker &W = this->Workers[I];
    if (!W.Present)
      continue;
    WorkerCandidate &C = this->Candidates[I];
    if (C.estimatedFreeSlots() <= 0 && Now - W.ViewTime >= StaleViewAge) {
      C.FreeSlots = C.SentSinceReport + 1;
      W.ViewTime = Now;
    }
    this->refresh(I, Now);
  }
}

} // namespace vanillayard
