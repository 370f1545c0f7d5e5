#ifndef VANILLAYARD_PLACEMENT_FRAGMENTATION_H
#define VANILLAYARD_PLACEMENT_FRAGMENTATION_H

#include "placement/GangShape.h"

namespace vanillayard {

class Occupancy;

/// Largest number of members of \p AcceleratorsPerMember that can start now
/// within \p RequiredAdjacency.
int largestStartableGang(const Occupancy &Occ, int AcceleratorsPerMember,
                         Adjacency RequiredAdjacency);

/// Largest number of such members that could start if all held accelerators
/// were moved to as few workers as possible.
int largestPackedGang(const Occupancy &Occ, int AcceleratorsPerMember,
                      Adjacency RequiredAdjacency);

/// 1 - largestStartableGang / largestPackedGang; 0 if no gang fits either way.
double fragmentation(const Occupancy &Occ, int AcceleratorsPerMember,
                     Adjacency RequiredAdjacency);

} // namespace vanillayard

#endif
