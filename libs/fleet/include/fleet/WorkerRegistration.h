#ifndef VANILLAYARD_FLEET_WORKERREGISTRATION_H
#define VANILLAYARD_FLEET_WORKERREGISTRATION_H

#include "base/Ids.h"
#include "fleet/Resources.h"

#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillayard {

/// Registration of a worker.
struct WorkerRegistration {
  WorkerId Id;
  Endpoint Address;
  DataCentreId DataCentre;
  RackId Rack;
  /// Pool of workers that it belongs to.
  std::string WorkerPool;
  Resources Capacity;
  std::vector<std::string> Labels;
  /// Accepts no new tasks; its running tasks may continue for a while.
  bool IsDraining = false;
  /// Start of this incarnation in milliseconds since the Unix epoch (1970); 0
  /// if not reported.
  int64_t Incarnation = 0;
  /// Time since the start of the incarnation, by the worker's clock, when it
  /// wrote the registration.
  absl::Duration Clock = absl::ZeroDuration();
};

} // namespace vanillayard

#endif
