#include "placement/Fragmentation.h"

#include "placement/CellTable.h"
#include "placement/Occupancy.h"

#include <algorithm>
#include <bit>

namespace vanillayard {

int largestStartableGang(const Occupancy &Occ, int AcceleratorsPerMember,
                         Adjacency RequiredAdjacency) {
  const Topology &Topo = Occ.topology();
  int Best = 0;
  int Area = 0;
  for (int W = 0; W < Topo.workerCount(); ++W) {
    bool NewArea = RequiredAdjacency == Adjacency::Worker ||
                   (RequiredAdjacency == Adjacency::Rack &&
                    W == Topo.rackBegin(Topo.rackOf(W)));
    if (NewArea)
      Area = 0;
    int WorkerCapacity =
        CellTable::get().capacity(Occ.freeMask(W), AcceleratorsPerMember);
    Area += std::clamp(WorkerCapacity, 0, std::max(0, Occ.freeSlots(W)));
    Best = std::max(Best, Area);
  }
  return Best;
}

int largestPackedGang(const Occupancy &Occ, int AcceleratorsPerMember,
                      Adjacency RequiredAdjacency) {
  const Topology &Topo = Occ.topology();
  int Free = 0;
  int LargestArea = 0;
  int Area = 0;
  for (int W = 0; W < Topo.workerCount(); ++W) {
    bool NewArea = RequiredAdjacency == Adjacency::Worker ||
                   (RequiredAdjacency == Adjacency::Rack &&
                    W == Topo.rackBegin(Topo.rackOf(W)));
    if (NewArea)
      Area = 0;
    Free += std::popcount(Occ.freeMask(W));
    Area += CellTable::get().capacity(Occ.usableMask(W), AcceleratorsPerMember);
    LargestArea = std::max(LargestArea, Area);
  }
  return std::min(Free / AcceleratorsPerMember, LargestArea);
}

double fragmentation(const Occupancy &Occ, int AcceleratorsPerMember,
                     Adjacency RequiredAdjacency) {
  int Packed = largestPackedGang(Occ, AcceleratorsPerMember, RequiredAdjacency);
  if (Packed == 0)
    return 0;
  int Startable =
      largestStartableGang(Occ, AcceleratorsPerMember, RequiredAdjacency);
  return 1 - static_cast<double>(Startable) / Packed;
}

} // namespace vanillayard
