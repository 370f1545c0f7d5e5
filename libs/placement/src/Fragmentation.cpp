#include "placement/Fragmentation.h"

#include "placement/CellTable.h"
#include "placement/Occupancy.h"

#include <algorithm>
#include <bit>

namespace vanillayard {

int largestStartableGang(const Occupancy &Held, int AcceleratorsPerMember,
                         Adjacency Spread) {
  const Topology &Topo = Held.topology();
  int Best = 0;
  int Area = 0;
  for (int W = 0; W < Topo.workerCount(); ++W) {
    bool NewArea =
        Spread == Adjacency::Worker ||
        (Spread == Adjacency::Rack && W == Topo.rackBegin(Topo.rackOf(W)));
    if (NewArea)
      Area = 0;
    int Here =
        CellTable::get().capacity(Held.freeMask(W), AcceleratorsPerMember);
    Area += std::clamp(Here, 0, std::max(0, Held.freeSlots(W)));
    Best = std::max(Best, Area);
  }
  return Best;
}

int largestPackedGang(const Occupancy &Held, int AcceleratorsPerMember,
                      Adjacency Spread) {
  const Topology &Topo = Held.topology();
  int Free = 0;
  int LargestArea = 0;
  int Area = 0;
  for (int W = 0; W < Topo.workerCount(); ++W) {
    bool NewArea =
        Spread == Adjacency::Worker ||
        (Spread == Adjacency::Rack && W == Topo.rackBegin(Topo.rackOf(W)));
    if (NewArea)
      Area = 0;
    Free += std::popcount(Held.freeMask(W));
    Area +=
        CellTable::get().capacity(Held.usableMask(W), AcceleratorsPerMember);
    LargestArea = std::max(LargestArea, Area);
  }
  return std::min(Free / AcceleratorsPerMember, LargestArea);
}

double fragmentation(const Occupancy &Held, int AcceleratorsPerMember,
                     Adjacency Spread) {
  int Packed = largestPackedGang(Held, AcceleratorsPerMember, Spread);
  if (Packed == 0)
    return 0;
  int Startable = largestStartableGang(Held, AcceleratorsPerMember, Spread);
  return 1 - static_cast<double>(Startable) / Packed;
}

} // namespace vanillayard
