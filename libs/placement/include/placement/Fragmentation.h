#ifndef VANILLAYARD_PLACEMENT_FRAGMENTATION_H
#define VANILLAYARD_PLACEMENT_FRAGMENTATION_H

#include "placement/GangShape.h"

namespace vanillayard {

class Occupancy;

/// Largest number of members of \p AcceleratorsPerMember that can start now
/// within \p Spread.
int largestStartableGang(const Occupancy &Held, int AcceleratorsPerMember,
                         Adjacency Spread);

/// The same if all held accelerators could be moved to the fewest workers.
int largestPackedGang(const Occupancy &Held, int AcceleratorsPerMember,
                      Adjacency Spread);

/// 1 - largestStartableGang / largestPackedGang; 0 if no gang fits either way.
double fragmentation(const Occupancy &Held, int AcceleratorsPerMember,
                     Adjacency Spread);

} // namespace vanillayard

#endif
