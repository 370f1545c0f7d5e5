#ifndef VANILLAYARD_LOAD_PACKINGORACLE_H
#define VANILLAYARD_LOAD_PACKINGORACLE_H

#include "load/TestBed.h"

#include <vector>

namespace vanillayard {

/// Judges fragmentation from outside, by what the workers say is running.
class PackingOracle {
public:
  /// Members of the largest gang of whole workers that could start in one rack
  /// of \p Centre now.
  static int largestStartable(const std::vector<WorkerOccupancy> &Workers,
                              const DataCentreId &Centre);

  /// The same if the running work were packed on as few workers as its
  /// accelerators need, and these into as few racks as possible. It ignores
  /// that a gang may not be split, so it is an upper bound.
  static int largestIfPacked(const std::vector<WorkerOccupancy> &Workers,
                             const DataCentreId &Centre, int WorkersPerRack);
};

} // namespace vanillayard

#endif
