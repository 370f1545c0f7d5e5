#ifndef VANILLAYARD_PLACEMENT_PLACEMENTPOLICY_H
#define VANILLAYARD_PLACEMENT_PLACEMENTPOLICY_H

#include "placement/GangShape.h"

#include <cstdint>
#include <span>

namespace vanillayard {

class Occupancy;

/// Chooses accelerators for a gang.
class PlacementPolicy {
public:
  virtual ~PlacementPolicy() = default;

  /// Finds a place for every member among the free accelerators.
  /// \param Denied accelerators by worker index that must not be used in
  ///        addition to those that are not free; empty for none.
  /// \param Out receives one place for each member; empty on failure. Its
  ///        storage is reused.
  /// \returns whether the gang fits.
  virtual bool choose(const Occupancy &Occ, const GangShape &Shape,
                      std::span<const uint8_t> Denied, GangPlacement &Out) = 0;
};

} // namespace vanillayard

#endif
