#include "placement/ReservationBackfill.h"

#include "placement/CellTable.h"
#include "placement/Occupancy.h"

#include <algorithm>
#include <bit>

namespace vanillayard {

void ReservationBackfill::beginPass(const Occupancy &Held, absl::Time Time) {
  this->Now = Time;
  this->WorkerCount = static_cast<size_t>(Held.topology().workerCount());
  // A kept reservation stays on its workers, or jobs that start in between
  // could hold up the gang for ever. One whose gang was not met in the last
  // pass is not needed any more.
  std::erase_if(this->Reservations,
                [](const Reservation &R) { return !R.Kept || !R.Seen; });
  for (Reservation &R : this->Reservations)
    R.Seen = false;
}

const ReservationBackfill::Reservation *
ReservationBackfill::find(uint64_t Gang) const {
  for (const Reservation &R : this->Reservations)
    if (R.Gang == Gang)
      return &R;
  return nullptr;
}

ReservationBackfill::Reservation *ReservationBackfill::find(uint64_t Gang) {
  return const_cast<Reservation *>(std::as_const(*this).find(Gang));
}

std::span<const uint8_t> ReservationBackfill::denied(const WaitingGang &Gang) {
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

bool ReservationBackfill::isKeptForOlder(int Worker,
                                         const WaitingGang &Gang) const {
  for (const Reservation &R : this->Reservations)
    if (R.Kept && R.QueuedSince <= Gang.QueuedSince &&
        std::find(R.Workers.begin(), R.Workers.end(), Worker) !=
            R.Workers.end())
      return true;
  return false;
}

absl::Time
ReservationBackfill::readyTime(const Occupancy &Held, int Worker,
                               std::span<const absl::Time> Ends) const {
  absl::Time Ready = this->Now;
  for (unsigned Bits = Held.heldMask(Worker); Bits; Bits &= Bits - 1) {
    int Index = Held.holderAt(Worker, std::countr_zero(Bits));
    if (static_cast<size_t>(Index) < Ends.size())
      Ready = std::max(Ready, Ends[static_cast<size_t>(Index)]);
  }
  return Ready;
}

bool ReservationBackfill::tryArea(const Occupancy &Held,
                                  const WaitingGang &Gang, int First, int End,
                                  std::span<const absl::Time> Ends,
                                  Reservation &Best) {
  this->Candidates.clear();
  for (int W = First; W < End; ++W) {
    Candidate C;
    C.Capacity =
        std::min(CellTable::get().capacity(Held.usableMask(W),
                                           Gang.Shape.AcceleratorsPerMember),
                 Held.topology().worker(W).Slots);
    if (C.Capacity == 0 || this->isKeptForOlder(W, Gang))
      continue;
    C.Worker = W;
    C.Ready = this->readyTime(Held, W, Ends);
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

bool ReservationBackfill::reserve(const Occupancy &Held,
                                  const WaitingGang &Gang,
                                  std::span<const absl::Time> Ends,
                                  Reservation &Out) {
  const Topology &Topo = Held.topology();
  Out.Gang = Gang.Id;
  if (Gang.Shape.Spread == Adjacency::Worker) {
    for (int W = 0; W < Topo.workerCount(); ++W)
      this->tryArea(Held, Gang, W, W + 1, Ends, Out);
    return !Out.Workers.empty();
  }
  for (int R = 0; R < Topo.rackCount(); ++R)
    this->tryArea(Held, Gang, Topo.rackBegin(R), Topo.rackBegin(R + 1), Ends,
                  Out);
  if (Out.Workers.empty() && Gang.Shape.Spread == Adjacency::DataCentre)
    this->tryArea(Held, Gang, 0, Topo.workerCount(), Ends, Out);
  return !Out.Workers.empty();
}

bool ReservationBackfill::onBlocked(const Occupancy &Held,
                                    const WaitingGang &Gang,
                                    std::span<const absl::Time> Ends) {
  if (Reservation *Old = this->find(Gang.Id)) {
    Old->Seen = true;
    // Workers that became unavailable can leave the gang short for ever.
    bool Usable = std::all_of(Old->Workers.begin(), Old->Workers.end(),
                              [&Held](int W) { return Held.isAvailable(W); });
    if (Usable)
      return true;
    std::erase_if(this->Reservations,
                  [&Gang](const Reservation &R) { return R.Gang == Gang.Id; });
  }
  bool Keep = this->Now - Gang.QueuedSince >= this->MaxGangWait;
  bool Soft = std::any_of(this->Reservations.begin(), this->Reservations.end(),
                          [](const Reservation &R) { return !R.Kept; });
  if (Soft && !Keep)
    return true;
  Reservation New;
  New.Kept = Keep;
  New.Seen = true;
  New.QueuedSince = Gang.QueuedSince;
  if (!this->reserve(Held, Gang, Ends, New))
    return true;
  // An older gang takes workers from a younger one, which reserves others in
  // the next pass; so the oldest one always gets its turn.
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
ReservationBackfill::keptFor(const WaitingGang &Gang) const {
  const Reservation *R = this->find(Gang.Id);
  if (!R || !R->Kept)
    return {};
  return R->Workers;
}

} // namespace vanillayard
