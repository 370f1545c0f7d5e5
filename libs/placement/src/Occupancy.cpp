#include "placement/Occupancy.h"

#include <bit>

namespace vanillayard {

Occupancy::Occupancy(const Topology &Topo) : Topo(&Topo) {
  this->Workers.resize(static_cast<size_t>(Topo.workerCount()));
  for (int I = 0; I < Topo.workerCount(); ++I) {
    this->Workers[static_cast<size_t>(I)].Usable = Topo.fullMask(I);
    this->Workers[static_cast<size_t>(I)].FreeSlots = Topo.worker(I).Slots;
  }
}

int Occupancy::addHolder(int Account, bool Reclaimable, absl::Time Started) {
  if (this->FreeHolderIndexes.empty()) {
    this->FreeHolderIndexes.push_back(static_cast<int>(this->Holders.size()));
    this->Holders.emplace_back();
  }
  int Index = this->FreeHolderIndexes.back();
  this->FreeHolderIndexes.pop_back();
  Holder &H = this->Holders[static_cast<size_t>(Index)];
  H.InUse = true;
  H.Account = Account;
  H.Reclaimable = Reclaimable;
  H.Started = Started;
  H.LostWork = 0;
  return Index;
}

void Occupancy::removeHolder(int Index) {
  Holder &H = this->Holders[static_cast<size_t>(Index)];
  for (const MemberPlace &Place : H.Places) {
    State &S = this->Workers[static_cast<size_t>(Place.Worker)];
    S.Held = static_cast<uint8_t>(S.Held & ~Place.Mask);
    S.Unreclaimable = static_cast<uint8_t>(S.Unreclaimable & ~Place.Mask);
    ++S.FreeSlots;
    for (unsigned Bits = Place.Mask; Bits; Bits &= Bits - 1)
      S.HolderAt[static_cast<size_t>(std::countr_zero(Bits))] = -1;
  }
  H.Places.clear();
  H.InUse = false;
  this->FreeHolderIndexes.push_back(Index);
}

bool Occupancy::place(int Index, const MemberPlace &Place) {
  State &S = this->Workers[static_cast<size_t>(Place.Worker)];
  if (S.Held & Place.Mask)
    return false;
  Holder &H = this->Holders[static_cast<size_t>(Index)];
  S.Held |= Place.Mask;
  if (!H.Reclaimable)
    S.Unreclaimable |= Place.Mask;
  --S.FreeSlots;
  for (unsigned Bits = Place.Mask; Bits; Bits &= Bits - 1)
    S.HolderAt[static_cast<size_t>(std::countr_zero(Bits))] = Index;
  H.Places.push_back(Place);
  return true;
}

void Occupancy::reserve(const MemberPlace &Place) {
  this->Workers[static_cast<size_t>(Place.Worker)].Reserved |= Place.Mask;
}

void Occupancy::unreserve(const MemberPlace &Place) {
  State &S = this->Workers[static_cast<size_t>(Place.Worker)];
  S.Reserved = static_cast<uint8_t>(S.Reserved & ~Place.Mask);
}

void Occupancy::setAvailable(int Worker, bool Available) {
  this->Workers[static_cast<size_t>(Worker)].Usable =
      Available ? this->Topo->fullMask(Worker) : 0;
}

} // namespace vanillayard
