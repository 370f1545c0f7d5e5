#ifndef VANILLAYARD_JOBS_PLANNERWORKER_H
#define VANILLAYARD_JOBS_PLANNERWORKER_H

#include "base/Ids.h"

namespace vanillayard {

/// A worker of the planner's data centre, as the worker monitor knows it.
struct PlannerWorker {
  WorkerId Id;
  RackId Rack;
  Endpoint Address;
  int Accelerators = 8;
  int Slots = 8;
  /// Leaving or draining: no new work.
  bool Draining = false;
  /// Excluded because of failures: no new work.
  bool Ejected = false;

  friend bool operator==(const PlannerWorker &,
                         const PlannerWorker &) = default;
};

} // namespace vanillayard

#endif
