#ifndef VANILLAYARD_SCHEDULER_RUNLIMIT_H
#define VANILLAYARD_SCHEDULER_RUNLIMIT_H

#include "base/EnumNames.h"

namespace vanillayard {

/// How many runs a worker may have, as far as failures on it are concerned.
enum class RunLimit {
  Unlimited,
  /// On probation: a new run only while it has no other.
  One,
  /// At rest: no new runs.
  None,
};

inline constexpr EnumNames<RunLimit, 3>
    RunLimitNames({{{RunLimit::Unlimited, "unlimited"},
                    {RunLimit::One, "one"},
                    {RunLimit::None, "none"}}});

} // namespace vanillayard

#endif
