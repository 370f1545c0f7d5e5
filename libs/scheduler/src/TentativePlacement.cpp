#include "TentativePlacement.h"

namespace vanillayard {

Resources TentativePlacement::free(const WorkerState &Worker) const {
  auto Found = this->Changes.find(&Worker);
  if (Found == this->Changes.end())
    return Worker.free();
  return Worker.free() - Found->second.Taken;
}

int TentativePlacement::placedOn(const WorkerState &Worker) const {
  auto Found = this->Changes.find(&Worker);
  return Found == this->Changes.end() ? 0 : Found->second.Tasks;
}

void TentativePlacement::place(WorkerState &Worker, const Resources &Need) {
  Change &C = this->Changes[&Worker];
  C.Taken += Need;
  ++C.Tasks;
  this->Placements.push_back(&Worker);
}

void TentativePlacement::evict(RunRecord &Run, double RunLoss) {
  if (!this->Evicted.insert(&Run).second)
    return;
  this->Changes[Run.Worker].Taken -= Run.Need;
  this->Victims.push_back(&Run);
  this->Loss += RunLoss;
}

} // namespace vanillayard
