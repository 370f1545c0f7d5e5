#ifndef VANILLAYARD_PLACEMENT_TESTS_SMALLFLEET_H
#define VANILLAYARD_PLACEMENT_TESTS_SMALLFLEET_H

#include "placement/Topology.h"

#include <string>
#include <vector>

namespace vanillayard {

/// Racks of equal workers, named r0w0, r0w1 and so on.
inline Topology smallFleet(int Racks, int WorkersPerRack,
                           int Accelerators = 8) {
  std::vector<TopologyWorker> List;
  for (int R = 0; R < Racks; ++R)
    for (int W = 0; W < WorkersPerRack; ++W) {
      std::string Rack = "r" + std::to_string(R);
      List.push_back({WorkerId(Rack + "w" + std::to_string(W)), RackId(Rack),
                      Accelerators, 8});
    }
  return Topology(List);
}

} // namespace vanillayard

#endif
