#include "placement/Topology.h"

#include "placement/CellTable.h"

#include <algorithm>
#include <tuple>

namespace vanillayard {

Topology::Topology(std::vector<TopologyWorker> List)
    : Workers(std::move(List)) {
  std::sort(this->Workers.begin(), this->Workers.end(),
            [](const TopologyWorker &A, const TopologyWorker &B) {
              return std::tie(A.Rack, A.Id) < std::tie(B.Rack, B.Id);
            });
  this->RackBegins.clear();
  for (int I = 0; I < this->workerCount(); ++I) {
    const TopologyWorker &W = this->worker(I);
    if (I == 0 || this->worker(I - 1).Rack != W.Rack)
      this->RackBegins.push_back(I);
    int Count = std::clamp(W.Accelerators, 0, MaxAcceleratorsPerWorker);
    this->FullMasks.push_back(static_cast<uint8_t>((1U << Count) - 1));
    this->RackOf.push_back(static_cast<int>(this->RackBegins.size()) - 1);
    this->IndexById.emplace(W.Id, I);
  }
  this->RackBegins.push_back(this->workerCount());
}

int Topology::indexOf(const WorkerId &Id) const {
  auto Found = this->IndexById.find(Id);
  return Found == this->IndexById.end() ? -1 : Found->second;
}

bool Topology::neverFits(const GangShape &Shape) const {
  if (Shape.Members < 1 || Shape.AcceleratorsPerMember < 1 ||
      Shape.AcceleratorsPerMember > MaxAcceleratorsPerWorker)
    return true;
  const CellTable &Cells = CellTable::get();
  int InRack = 0;
  int All = 0;
  for (int I = 0; I < this->workerCount(); ++I) {
    if (I == this->rackBegin(this->rackOf(I)))
      InRack = 0;
    int WorkerCapacity =
        std::min(Cells.capacity(this->fullMask(I), Shape.AcceleratorsPerMember),
                 this->worker(I).Slots);
    InRack += WorkerCapacity;
    All += WorkerCapacity;
    int Area = Shape.RequiredAdjacency == Adjacency::Worker ? WorkerCapacity
               : Shape.RequiredAdjacency == Adjacency::Rack ? InRack
                                                            : All;
    if (Area >= Shape.Members)
      return false;
  }
  return true;
}

} // namespace vanillayard
