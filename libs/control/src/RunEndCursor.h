#ifndef VANILLAYARD_CONTROL_RUNENDCURSOR_H
#define VANILLAYARD_CONTROL_RUNENDCURSOR_H

#include "base/Ids.h"

#include <cstdint>
#include <map>

namespace vanillayard {

/// Position in the list of ended runs that one incarnation of a worker reports.
/// Each incarnation numbers its list from 1, so a sequence number is valid only
/// together with the incarnation.
struct RunEndCursor {
  int64_t Incarnation = 0;
  int64_t Sequence = 0;
};

using RunEndCursors = std::map<WorkerId, RunEndCursor>;

} // namespace vanillayard

#endif
