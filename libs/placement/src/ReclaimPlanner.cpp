#include "placement/ReclaimPlanner.h"

#include "placement/Occupancy.h"

#include <algorithm>
#include <bit>

namespace vanillayard {

void ReclaimPlanner::reset(absl::Time Time) {
  this->Now = Time;
  this->Victims.clear();
}

bool ReclaimPlanner::isVictim(int Holder) const {
  return std::find(this->Victims.begin(), this->Victims.end(), Holder) !=
         this->Victims.end();
}

ReclaimPlanner::Cost ReclaimPlanner::costOf(const Occupancy &Occ,
                                            const MemberPlace &Place) const {
  Cost Sum;
  std::array<int, 8> Seen{};
  size_t Count = 0;
  for (unsigned Bits = Occ.heldMask(Place.Worker) & Place.Mask; Bits;
       Bits &= Bits - 1) {
    int Index = Occ.holderAt(Place.Worker, std::countr_zero(Bits));
    int *End = Seen.data() + static_cast<ptrdiff_t>(Count);
    if (std::find(Seen.data(), End, Index) != End || this->isVictim(Index))
      continue;
    Seen[Count++] = Index;
    Sum.LostWork += Occ.holder(Index).LostWork;
    Sum.OldestRunTime =
        std::max(Sum.OldestRunTime, this->Now - Occ.holder(Index).Started);
  }
  return Sum;
}

void ReclaimPlanner::selectVictims(const Occupancy &Occ,
                                   const MemberPlace &Place) {
  for (unsigned Bits = Occ.heldMask(Place.Worker) & Place.Mask; Bits;
       Bits &= Bits - 1) {
    int Index = Occ.holderAt(Place.Worker, std::countr_zero(Bits));
    if (!this->isVictim(Index))
      this->Victims.push_back(Index);
  }
}

} // namespace vanillayard
