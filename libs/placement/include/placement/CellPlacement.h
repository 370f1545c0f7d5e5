#ifndef VANILLAYARD_PLACEMENT_CELLPLACEMENT_H
#define VANILLAYARD_PLACEMENT_CELLPLACEMENT_H

#include "placement/PlacementPolicy.h"

#include <vector>

namespace vanillayard {

/// Best fit on aligned cells: within a worker, then within a rack, then
/// across racks if the gang allows it. Prefers the smallest cell on the
/// fullest worker and rack, so that large free cells are kept.
class CellPlacement final : public PlacementPolicy {
public:
  bool choose(const Occupancy &Held, const GangShape &Shape,
              std::span<const uint8_t> Denied, GangPlacement &Out) override;

private:
  void countCapacity(const Occupancy &Held, const GangShape &Shape,
                     std::span<const uint8_t> Denied);
  int bestWorker(const Occupancy &Held, const GangShape &Shape) const;
  int bestRack(const Occupancy &Held, int Members) const;
  int largestRack() const;
  void fillWorker(int Worker, int Count, int Size, GangPlacement &Out);
  void fillRack(const Occupancy &Held, int Rack, int Count, int Size,
                GangPlacement &Out);

  // Scratch, kept so that a decision allocates nothing.
  std::vector<uint8_t> Free;
  std::vector<int> Capacity;
  std::vector<int> RackCapacity;
  std::vector<int> RackFree;
  std::vector<int> Order;
};

} // namespace vanillayard

#endif
