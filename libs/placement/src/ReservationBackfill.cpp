#include "placement/ReservationBackfill.h"

#include "placement/CellTable.h"
#include "placement/Occupancy.h"

#include <algorithm>
#include <bit>

namespace vanillayard {

void ReservationBackfill::beginPass(const Occupancy &Occ, absl::Time Time) {
  this->Now = Time;
  this->WorkerCount = static_cast<size_t>(Occ.topology().workerCount());
  // A kept reservation stays on its workers; if it moved, jobs that start in
  // between could delay the gang forever. A reservation whose gang was not
  // blocked in the last pass is no longer needed.
  std::erase_if(this->Reservations,
                [](const Reservation &R) { return !R.Kept || !R.SeenInPass; });
  for (Reservation &R : this->Reservations)
    R.SeenInPass = false;
}

const ReservationBackfill::Reservation *
ReservationBackfill::findReservation(uint64_t Gang) const {
  for (const Reservation &R : this->Reservations)
    if (R.Gang == Gang)
      return &R;
  return nullptr;
}

ReservationBackfill::Reservation *
ReservationBackfill::findReservation(uint64_t Gang) {
  return const_cast<Reservation *>(std::as_const(*this).findReservation(Gang));
}

std::span<const uint8_t>
ReservationBackfill::deniedMasks(const WaitingGang &Gang) {
  bool Any = false;
  this->Denied.assign(this->WorkerCount, 0);
  for (const Reservation &R : this->Reservations) {
    if (R.Gang == Gang.Id)
      continue;
    bool EndsBefore = Gang.ExpectedRunTime > absl::ZeroDuration() &&
                      this->Now + Gang.ExpectedRunTime <= R.Start;
    if (!R.Kept && (Gang.Reclaimable || EndsBefore))
      continue;
    Any = true;
    for (int W : R.Workers)
      this->Denied[static_cast<size_t>(W)] = 0xff;
  }
  return Any ? std::span<const uint8_t>(this->Denied)
             : std::span<const uint8_t>();
}

bool ReservationBackfill::isKeptForOlderGang(int Worker,
                                             const WaitingGang &Gang) const {
  for (const Reservation &R : this->Reservations)
    if (R.Kept && R.QueuedSince <= Gang.QueuedSince &&
        std::find(R.Workers.begin(), R.Workers.end(), Worker) !=
            R.Workers.end())
      return true;
  return false;
}

absl::Time
ReservationBackfill::readyTime(const Occupancy &Occ, int Worker,
                               std::span<const absl::Time> Ends) const {
  absl::Time Ready = this->Now;
  for (unsigned Bits = Occ.heldMask(Worker); Bits; Bits &= Bits - 1) {
    int Index = Occ.holderAt(Worker, std::countr_zero(Bits));
    if (static_cast<size_t>(Index) < Ends.size())
      Ready = std::max(Ready, Ends[static_cast<size_t>(Index)]);
  }
  return Ready;
}

bool ReservationBackfill::tryReserveInArea(const Occupancy &Occ,
                                           const WaitingGang &Gang, int First,
                                           int End,
                                           std::span<const absl::Time> Ends,
                                           Reservation &Best) {
  this->Candidates.clear();
  for (int W = First; W < End; ++W) {
    Candidate C;
    C.Capacity =
        std::min(CellTable::get().capacity(Occ.usableMask(W),
                                           Gang.Shape.AcceleratorsPerMember),
                 Occ.topology().worker(W).Slots);
    if (C.Capacity == 0 || this->isKeptForOlderGang(W, Gang))
      continue;
    C.Worker = W;
    C.Ready = this->readyTime(Occ, W, Ends);
    this->Candidates.push_back(C);
  }
  std::sort(this->Candidates.begin(), this->Candidates.end());
  int Sum = 0;
  size_t Used = 0;
  while (Used < this->Candidates.size() && Sum < Gang.Shape.Members)
    Sum += this->Candidates[Used++].Capacity;
  if (Sum < Gang.Shape.Members || Used == 0)
    return false;
  absl::Time Start = this->Candidates[Used - 1].Ready;
  if (!Best.Workers.empty() && Start >= Best.Start)
    return true;
  Best.Start = Start;
  Best.Workers.clear();
  for (size_t I = 0; I < Used; ++I)
    Best.Workers.push_back(this->Candidates[I].Worker);
  return true;
}

bool ReservationBackfill::reserveWorkers(const Occupancy &Occ,
                                         const WaitingGang &Gang,
                                         std::span<const absl::Time> Ends,
                                         Reservation &Out) {
  const Topology &Topo = Occ.topology();
  Out.Gang = Gang.Id;
  if (Gang.Shape.RequiredAdjacency == Adjacency::Worker) {
    for (int W = 0; W < Topo.workerCount(); ++W)
      this->tryReserveInArea(Occ, Gang, W, W + 1, Ends, Out);
    return !Out.Workers.empty();
  }
  for (int R = 0; R < Topo.rackCount(); ++R)
    this->tryReserveInArea(Occ, Gang, Topo.rackBegin(R), Topo.rackBegin(R + 1),
                           Ends, Out);
  if (Out.Workers.empty() &&
      Gang.Shape.RequiredAdjacency == Adjacency::DataCentre)
    this->tryReserveInArea(Occ, Gang, 0, Topo.workerCount(), Ends, Out);
  return !Out.Workers.empty();
}

bool ReservationBackfill::onBlocked(const Occupancy &Occ,
                                    const WaitingGang &Gang,
                                    std::span<const absl::Time> Ends) {
  if (Reservation *Old = this->findReservation(Gang.Id)) {
    Old->SeenInPass = true;
    // If a reserved worker became unavailable, the others may never be enough
    // for the gang, so other workers are reserved.
    bool Usable = std::all_of(Old->Workers.begin(), Old->Workers.end(),
                              [&Occ](int W) { return Occ.isAvailable(W); });
    if (Usable)
      return true;
    std::erase_if(this->Reservations,
                  [&Gang](const Reservation &R) { return R.Gang == Gang.Id; });
  }
  bool Keep = this->Now - Gang.QueuedSince >= this->MaxGangWait;
  bool AnyNotKept =
      std::any_of(this->Reservations.begin(), this->Reservations.end(),
                  [](const Reservation &R) { return !R.Kept; });
  if (AnyNotKept && !Keep)
    return true;
  Reservation New;
  New.Kept = Keep;
  New.SeenInPass = true;
  New.QueuedSince = Gang.QueuedSince;
  if (!this->reserveWorkers(Occ, Gang, Ends, New))
    return true;
  // A gang that has waited for MaxGangWait takes workers from younger gangs,
  // which reserve others in the next pass. The oldest gang is never starved.
  if (Keep)
    std::erase_if(this->Reservations, [&New](const Reservation &R) {
      return std::any_of(R.Workers.begin(), R.Workers.end(), [&New](int W) {
        return std::find(New.Workers.begin(), New.Workers.end(), W) !=
               New.Workers.end();
      });
    });
  this->Reservations.push_back(std::move(New));
  return true;
}

std::span<const int>
ReservationBackfill::workersKeptFor(const WaitingGang &Gang) const {
  const Reservation *R = this->findReservation(Gang.Id);
  if (!R || !R->Kept)
    return {};
  return R->Workers;
}

} // namespace vanillayard
