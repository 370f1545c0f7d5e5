#ifndef VANILLAYARD_TESTING_WORKERNODE_H
#define VANILLAYARD_TESTING_WORKERNODE_H

#include "base/Ids.h"

#include <cstddef>

namespace vanillayard {

/// A stand-in worker of a Cluster.
struct WorkerNode {
  WorkerId Name;
  DataCentreId DataCentre;
  RackId Rack;
  Endpoint Address;
  /// Index of its process, see Cluster::workerProcess(). Several workers may
  /// share a process.
  size_t ProcessIndex = 0;
};

} // namespace vanillayard

#endif
