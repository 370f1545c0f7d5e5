#ifndef VANILLAYARD_PLACEMENT_FIRSTFIT_H
#define VANILLAYARD_PLACEMENT_FIRSTFIT_H

#include "placement/PlacementPolicy.h"

namespace vanillayard {

/// Baseline policy: takes the first free accelerators in index order that
/// satisfy GangShape::RequiredAdjacency, without alignment.
class FirstFit final : public PlacementPolicy {
public:
  bool choose(const Occupancy &Occ, const GangShape &Shape,
              std::span<const uint8_t> Denied, GangPlacement &Out) override;
};

} // namespace vanillayard

#endif
