#ifndef VANILLAYARD_PLACEMENT_GANGSHAPE_H
#define VANILLAYARD_PLACEMENT_GANGSHAPE_H

#include "base/EnumNames.h"

#include <cstdint>
#include <vector>

namespace vanillayard {

/// Widest area over which the members of a gang may be spread.
enum class Adjacency { Worker, Rack, DataCentre };

inline constexpr EnumNames<Adjacency, 3>
    AdjacencyNames({{{Adjacency::Worker, "worker"},
                     {Adjacency::Rack, "rack"},
                     {Adjacency::DataCentre, "data_centre"}}});

/// What a gang needs. Each member uses one slot and accelerators of one
/// worker.
struct GangShape {
  int Members = 1;
  /// 1 to MaxAcceleratorsPerWorker.
  int AcceleratorsPerMember = 1;
  Adjacency RequiredAdjacency = Adjacency::Rack;

  int accelerators() const {
    return this->Members * this->AcceleratorsPerMember;
  }
};

/// Accelerators of one worker. Bit N of the mask stands for accelerator N.
struct MemberPlace {
  int Worker = -1;
  uint8_t Mask = 0;

  friend bool operator==(const MemberPlace &, const MemberPlace &) = default;
};

/// Place of each member by index.
using GangPlacement = std::vector<MemberPlace>;

} // namespace vanillayard

#endif
