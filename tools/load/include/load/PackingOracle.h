#ifndef VANILLAYARD_LOAD_PACKINGORACLE_H
#define VANILLAYARD_LOAD_PACKINGORACLE_H

#include "load/TestBed.h"

#include <vector>

namespace vanillayard {

/// Computes fragmentation from the occupancy that the workers report,
/// independently of the placement code under test.
class PackingOracle {
public:
  /// Members of the largest gang of whole workers that could start in one rack
  /// of \p Centre now.
  static int largestStartableGang(const std::vector<WorkerOccupancy> &Workers,
                                  const DataCentreId &Centre);

  /// The same value for a layout that packs the running work on as few workers
  /// as its accelerators need, and these workers into as few racks as possible.
  /// An upper bound, because it splits gangs, which the scheduler may not do.
  static int largestGangIfPacked(const std::vector<WorkerOccupancy> &Workers,
                                 const DataCentreId &Centre,
                                 int WorkersPerRack);
};

} // namespace vanillayard

#endif
