#ifndef VANILLAYARD_REQUESTS_WORKERCAPACITY_H
#define VANILLAYARD_REQUESTS_WORKERCAPACITY_H

#include "base/Ids.h"

namespace vanillayard {

/// This host's view of the capacity of one worker of its data centre.
struct WorkerCapacity {
  WorkerId Id;
  Endpoint Address;
  int Slots = 0;
  int FreeSlots = 0;
  /// Bound of connections to the worker.
  int Connections = 0;
  /// The worker's status or the platform's host list says that it is draining.
  bool Draining = false;
  /// Ejected by the worker monitor. WorkerHealth ejects workers separately, by
  /// the results of this host's requests.
  bool Ejected = false;
};

} // namespace vanillayard

#endif
