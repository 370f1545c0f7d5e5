#ifndef VANILLAYARD_PLACEMENT_CELLPLACEMENT_H
#define VANILLAYARD_PLACEMENT_CELLPLACEMENT_H

#include "placement/PlacementPolicy.h"

#include <vector>

namespace vanillayard {

/// Places a gang by best fit on aligned cells: on one worker if it fits there,
/// else in one rack, else across racks if GangShape::RequiredAdjacency allows
/// it. Prefers the smallest cell on the fullest worker and rack, so that large
/// cells stay free.
class CellPlacement final : public PlacementPolicy {
public:
  bool choose(const Occupancy &Occ, const GangShape &Shape,
              std::span<const uint8_t> Denied, GangPlacement &Out) override;

private:
  void countCapacity(const Occupancy &Occ, const GangShape &Shape,
                     std::span<const uint8_t> Denied);
  int bestWorker(const Occupancy &Occ, const GangShape &Shape) const;
  int bestRack(const Occupancy &Occ, int Members) const;
  int largestRack() const;
  void fillWorker(int Worker, int Count, int Size, GangPlacement &Out);
  void fillRack(const Occupancy &Occ, int Rack, int Count, int Size,
                GangPlacement &Out);

  // Scratch buffers, kept between calls so that choose() allocates nothing.
  std::vector<uint8_t> Free;
  std::vector<int> Capacity;
  std::vector<int> RackCapacity;
  std::vector<int> RackFree;
  std::vector<int> Order;
};

} // namespace vanillayard

#endif
