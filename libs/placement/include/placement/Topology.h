#ifndef VANILLAYARD_PLACEMENT_TOPOLOGY_H
#define VANILLAYARD_PLACEMENT_TOPOLOGY_H

#include "base/Ids.h"
#include "placement/GangShape.h"

#include "absl/container/flat_hash_map.h"

#include <span>
#include <vector>

namespace vanillayard {

struct TopologyWorker {
  WorkerId Id;
  RackId Rack;
  /// 0 to MaxAcceleratorsPerWorker; more are not used.
  int Accelerators = 8;
  int Slots = 8;
};

/// The workers of one data centre by index, in order of rack and id. The
/// workers of a rack have adjacent indexes.
class Topology {
public:
  Topology() = default;
  explicit Topology(std::vector<TopologyWorker> Workers);

  int workerCount() const { return static_cast<int>(this->Workers.size()); }
  int rackCount() const {
    return static_cast<int>(this->RackBegins.size()) - 1;
  }
  const TopologyWorker &worker(int Index) const {
    return this->Workers[static_cast<size_t>(Index)];
  }
  /// All accelerators of the worker.
  uint8_t fullMask(int Worker) const {
    return this->FullMasks[static_cast<size_t>(Worker)];
  }
  int rackOf(int Worker) const {
    return this->RackOf[static_cast<size_t>(Worker)];
  }
  /// First worker of \p Rack; rackBegin(rackCount()) is workerCount().
  int rackBegin(int Rack) const {
    return this->RackBegins[static_cast<size_t>(Rack)];
  }
  /// \returns -1 if there is no such worker.
  int indexOf(const WorkerId &Id) const;

  /// \returns true if even an idle data centre of this topology could not hold
  ///          the gang.
  bool neverFits(const GangShape &Shape) const;

private:
  std::vector<TopologyWorker> Workers;
  std::vector<uint8_t> FullMasks;
  std::vector<int> RackOf;
  std::vector<int> RackBegins{0};
  absl::flat_hash_map<WorkerId, int> IndexById;
};

} // namespace vanillayard

#endif
