#include "placement/FirstFit.h"

#include "placement/Occupancy.h"

#include <bit>

namespace vanillayard {

static uint8_t lowestBits(uint8_t Mask, int Count) {
  unsigned Taken = 0;
  unsigned Rest = Mask;
  for (int I = 0; I < Count && Rest; ++I) {
    Taken |= Rest & -Rest;
    Rest &= Rest - 1;
  }
  return static_cast<uint8_t>(Taken);
}

bool FirstFit::choose(const Occupancy &Occ, const GangShape &Shape,
                      std::span<const uint8_t> Denied, GangPlacement &Out) {
  Out.clear();
  const Topology &Topo = Occ.topology();
  for (int W = 0; W < Topo.workerCount(); ++W) {
    bool NewArea = Shape.RequiredAdjacency == Adjacency::Worker ||
                   (Shape.RequiredAdjacency == Adjacency::Rack &&
                    W == Topo.rackBegin(Topo.rackOf(W)));
    if (NewArea)
      Out.clear();
    uint8_t Mask = Occ.freeMask(W);
    if (!Denied.empty())
      Mask = static_cast<uint8_t>(Mask & ~Denied[static_cast<size_t>(W)]);
    int Slots = Occ.freeSlots(W);
    while (Slots-- > 0 && std::popcount(Mask) >= Shape.AcceleratorsPerMember) {
      uint8_t Taken = lowestBits(Mask, Shape.AcceleratorsPerMember);
      Mask = static_cast<uint8_t>(Mask & ~Taken);
      Out.push_back({W, Taken});
      if (static_cast<int>(Out.size()) == Shape.Members)
        return true;
    }
  }
  Out.clear();
  return false;
}

} // namespace vanillayard
