#ifndef VANILLAYARD_JOBS_PLANNERWORKER_H
#define VANILLAYARD_JOBS_PLANNERWORKER_H

#include "base/Ids.h"

namespace vanillayard {

/// A worker of the planner's data centre, as the worker monitor reports it.
struct PlannerWorker {
  WorkerId Id;
  RackId Rack;
  Endpoint Address;
  int Accelerators = 8;
  int Slots = 8;
  /// The worker is draining and gets no new work.
  bool Draining = false;
  /// The worker was excluded because of failures and gets no new work.
  bool Ejected = false;

  friend bool operator==(const PlannerWorker &,
                         const PlannerWorker &) = default;
};

} // namespace vanillayard

#endif
