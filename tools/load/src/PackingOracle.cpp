#include "load/PackingOracle.h"

#include <algorithm>
#include <map>

namespace vanillayard {

int PackingOracle::largestStartableGang(
    const std::vector<WorkerOccupancy> &Workers, const DataCentreId &Centre) {
  std::map<RackId, int> FreeWorkers;
  for (const WorkerOccupancy &Worker : Workers)
    if (Worker.DataCentre == Centre && Worker.BusyAccelerators == 0)
      ++FreeWorkers[Worker.Rack];
  int Largest = 0;
  for (const auto &[Rack, Count] : FreeWorkers)
    Largest = std::max(Largest, Count);
  return Largest;
}

int PackingOracle::largestGangIfPacked(
    const std::vector<WorkerOccupancy> &Workers, const DataCentreId &Centre,
    int WorkersPerRack) {
  int Count = 0;
  int Busy = 0;
  for (const WorkerOccupancy &Worker : Workers) {
    if (Worker.DataCentre != Centre)
      continue;
    ++Count;
    Busy += Worker.BusyAccelerators;
  }
  constexpr int PerWorker = Deployment::AcceleratorsPerWorker;
  int Free = Count - (Busy + PerWorker - 1) / PerWorker;
  return std::min(Free, WorkersPerRack);
}

} // namespace vanillayard
