#ifndef VANILLAYARD_SCHEDULER_WAITREASON_H
#define VANILLAYARD_SCHEDULER_WAITREASON_H

#include "base/EnumNames.h"

namespace vanillayard {

/// Why a task that is ready has no run.
enum class WaitReason {
  /// An earlier leader may have started tasks of the job, and not all workers
  /// that may run them have reported.
  Reports,
  /// The free accelerators are kept for urgent work.
  Headroom,
  /// There is room, but not near the task's data or in one rack.
  Locality,
  /// No worker that may take the task has room for it.
  Room,
  /// Only workers in data centres that are being evacuated could hold the task.
  Evacuation,
};

inline constexpr EnumNames<WaitReason, 5>
    WaitReasonNames({{{WaitReason::Reports, "reports"},
                      {WaitReason::Headroom, "headroom"},
                      {WaitReason::Locality, "locality"},
                      {WaitReason::Room, "room"},
                      {WaitReason::Evacuation, "evacuation"}}});

} // namespace vanillayard

#endif
