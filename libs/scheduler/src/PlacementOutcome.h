#ifndef VANILLAYARD_SCHEDULER_PLACEMENTOUTCOME_H
#define VANILLAYARD_SCHEDULER_PLACEMENTOUTCOME_H

#include "TentativePlacement.h"
#include "scheduler/WaitReason.h"

#include <optional>

namespace vanillayard {

/// Result of the search for workers.
struct PlacementOutcome {
  std::optional<TentativePlacement> Placement;
  /// Why there is no placement; meaningless if there is one.
  WaitReason Reason = WaitReason::Room;
};

} // namespace vanillayard

#endif
