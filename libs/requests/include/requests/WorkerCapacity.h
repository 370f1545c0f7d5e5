#ifndef VANILLAYARD_REQUESTS_WORKERCAPACITY_H
#define VANILLAYARD_REQUESTS_WORKERCAPACITY_H

#include "base/Ids.h"

namespace vanillayard {

/// What this host knows of a worker of its data centre.
struct WorkerCapacity {
  WorkerId Id;
  Endpoint Address;
  int Slots = 0;
  int FreeSlots = 0;
  int Connections = 0;
  /// By its status or by the platform's list.
  bool Draining = false;
  /// Excluded by the worker monitor, in addition to the ejection by this
  /// host's own requests.
  bool Ejected = false;
};

} // namespace vanillayard

#endif
