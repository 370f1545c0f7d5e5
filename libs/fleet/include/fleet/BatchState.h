#ifndef VANILLAYARD_FLEET_BATCHSTATE_H
#define VANILLAYARD_FLEET_BATCHSTATE_H

#include "base/EnumNames.h"

namespace vanillayard {

/// State of a job as callers see it.
enum class BatchState {
  /// Accepted; no worker has confirmed a run. The leader that sent a start
  /// order
  /// may have died before it recorded the answer, so there may be runs.
  Queued,
  /// A worker has accepted a start or has reported a run.
  Running,
  /// All tasks are done.
  Done,
  /// A task, or a gang, has failed BatchJob::MaxAttempts times.
  Failed,
  Cancelled,
};

inline constexpr EnumNames<BatchState, 5>
    BatchStateNames({{{BatchState::Queued, "queued"},
                      {BatchState::Running, "running"},
                      {BatchState::Done, "done"},
                      {BatchState::Failed, "failed"},
                      {BatchState::Cancelled, "cancelled"}}});

/// Whether the state is terminal.
inline bool isFinal(BatchState State) {
  return State == BatchState::Done || State == BatchState::Failed ||
         State == BatchState::Cancelled;
}

} // namespace vanillayard

#endif
