#ifndef VANILLAYARD_PLACEMENT_FIRSTFIT_H
#define VANILLAYARD_PLACEMENT_FIRSTFIT_H

#include "placement/PlacementPolicy.h"

namespace vanillayard {

/// Baseline: takes the first accelerators in order of index that satisfy the
/// adjacency, without alignment.
class FirstFit final : public PlacementPolicy {
public:
  bool choose(const Occupancy &Held, const GangShape &Shape,
              std::span<const uint8_t> Denied, GangPlacement &Out) override;
};

} // namespace vanillayard

#endif
