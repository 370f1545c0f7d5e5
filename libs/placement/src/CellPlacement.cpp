#include "placement/CellPlacement.h"

#include "placement/CellTable.h"
#include "placement/Occupancy.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace vanillayard {

void CellPlacement::countCapacity(const Occupancy &Occ, const GangShape &Shape,
                                  std::span<const uint8_t> Denied) {
  const CellTable &Cells = CellTable::get();
  const Topology &Topo = Occ.topology();
  size_t Count = static_cast<size_t>(Topo.workerCount());
  this->Free.resize(Count);
  this->Capacity.resize(Count);
  this->RackCapacity.assign(static_cast<size_t>(Topo.rackCount()), 0);
  this->RackFree.assign(static_cast<size_t>(Topo.rackCount()), 0);
  for (size_t I = 0; I < Count; ++I) {
    int Worker = static_cast<int>(I);
    uint8_t Mask = Occ.freeMask(Worker);
    if (!Denied.empty())
      Mask = static_cast<uint8_t>(Mask & ~Denied[I]);
    this->Free[I] = Mask;
    this->Capacity[I] =
        std::clamp(Cells.capacity(Mask, Shape.AcceleratorsPerMember), 0,
                   std::max(0, Occ.freeSlots(Worker)));
    size_t Rack = static_cast<size_t>(Topo.rackOf(Worker));
    this->RackCapacity[Rack] += this->Capacity[I];
    this->RackFree[Rack] += std::popcount(Mask);
  }
}

int CellPlacement::bestWorker(const Occupancy &Occ,
                              const GangShape &Shape) const {
  const CellTable &Cells = CellTable::get();
  int Best = -1;
  std::tuple<int, int, int> BestKey;
  // Workers are compared by the size of the free cell that must be divided to
  // hold all members.
  int Whole = std::min(Shape.accelerators(), MaxAcceleratorsPerWorker);
  for (size_t I = 0; I < this->Capacity.size(); ++I) {
    if (this->Capacity[I] < Shape.Members)
      continue;
    int Worker = static_cast<int>(I);
    int Rack = Occ.topology().rackOf(Worker);
    std::tuple<int, int, int> Key(Cells.dividedLevel(this->Free[I], Whole),
                                  std::popcount(this->Free[I]),
                                  this->RackFree[static_cast<size_t>(Rack)]);
    if (Best >= 0 && Key >= BestKey)
      continue;
    Best = Worker;
    BestKey = Key;
  }
  return Best;
}

int CellPlacement::bestRack(const Occupancy &Occ, int Members) const {
  int Best = -1;
  std::pair<int, int> BestKey;
  for (int R = 0; R < Occ.topology().rackCount(); ++R) {
    size_t I = static_cast<size_t>(R);
    if (this->RackCapacity[I] < Members)
      continue;
    std::pair<int, int> Key(this->RackCapacity[I], this->RackFree[I]);
    if (Best >= 0 && Key >= BestKey)
      continue;
    Best = R;
    BestKey = Key;
  }
  return Best;
}

int CellPlacement::largestRack() const {
  auto Largest =
      std::max_element(this->RackCapacity.begin(), this->RackCapacity.end());
  return static_cast<int>(Largest - this->RackCapacity.begin());
}

void CellPlacement::fillWorker(int Worker, int Count, int Size,
                               GangPlacement &Out) {
  uint8_t &Mask = this->Free[static_cast<size_t>(Worker)];
  for (int I = 0; I < Count; ++I) {
    uint8_t Picked = CellTable::get().pick(Mask, Size);
    Out.push_back({Worker, Picked});
    Mask = static_cast<uint8_t>(Mask & ~Picked);
  }
  this->Capacity[static_cast<size_t>(Worker)] -= Count;
}

// Fills the fullest workers first, so that whole workers stay free.
void CellPlacement::fillRack(const Occupancy &Occ, int Rack, int Count,
                             int Size, GangPlacement &Out) {
  this->Order.clear();
  for (int W = Occ.topology().rackBegin(Rack);
       W < Occ.topology().rackBegin(Rack + 1); ++W)
    if (this->Capacity[static_cast<size_t>(W)] > 0)
      this->Order.push_back(W);
  std::sort(this->Order.begin(), this->Order.end(), [this](int A, int B) {
    return std::make_tuple(std::popcount(this->Free[static_cast<size_t>(A)]),
                           A) <
           std::make_tuple(std::popcount(this->Free[static_cast<size_t>(B)]),
                           B);
  });
  this->RackCapacity[static_cast<size_t>(Rack)] -= Count;
  for (int W : this->Order) {
    int Placed = std::min(Count, this->Capacity[static_cast<size_t>(W)]);
    this->fillWorker(W, Placed, Size, Out);
    Count -= Placed;
    if (Count == 0)
      return;
  }
}

bool CellPlacement::choose(const Occupancy &Occ, const GangShape &Shape,
                           std::span<const uint8_t> Denied,
                           GangPlacement &Out) {
  Out.clear();
  this->countCapacity(Occ, Shape, Denied);
  int Size = Shape.AcceleratorsPerMember;
  int Worker = this->bestWorker(Occ, Shape);
  if (Worker >= 0) {
    this->fillWorker(Worker, Shape.Members, Size, Out);
    return true;
  }
  if (Shape.RequiredAdjacency == Adjacency::Worker)
    return false;
  int Rack = this->bestRack(Occ, Shape.Members);
  if (Rack >= 0) {
    this->fillRack(Occ, Rack, Shape.Members, Size, Out);
    return true;
  }
  int Total = 0;
  for (int InRack : this->RackCapacity)
    Total += InRack;
  if (Shape.RequiredAdjacency == Adjacency::Rack || Total < Shape.Members)
    return false;
  // Use the racks with the most capacity first, so that the gang spans as few
  // racks as possible.
  for (int Left = Shape.Members; Left > 0;) {
    int Next = this->bestRack(Occ, Left);
    if (Next < 0)
      Next = this->largestRack();
    int Placed = std::min(Left, this->RackCapacity[static_cast<size_t>(Next)]);
    this->fillRack(Occ, Next, Placed, Size, Out);
    Left -= Placed;
  }
  return true;
}

} // namespace vanillayard
