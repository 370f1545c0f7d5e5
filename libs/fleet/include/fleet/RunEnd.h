#ifndef VANILLAYARD_FLEET_RUNEND_H
#define VANILLAYARD_FLEET_RUNEND_H

#include "base/EnumNames.h"
#include "fleet/TaskKey.h"

#include <cstdint>
#include <string>

namespace vanillayard {

/// How a run of a task ended.
enum class RunOutcome {
  Done,
  /// The task or the worker reported a failure.
  Failed,
  /// The worker was ordered to stop the run.
  Stopped,
  /// The worker's lease expired during the run.
  LeaseExpired,
  /// Another member of the gang ended without being done.
  GangMemberEnded,
  /// The other members of the gang did not start in time.
  GangIncomplete,
};

inline constexpr EnumNames<RunOutcome, 6>
    RunOutcomeNames({{{RunOutcome::Done, "done"},
                      {RunOutcome::Failed, "failed"},
                      {RunOutcome::Stopped, "stopped"},
                      {RunOutcome::LeaseExpired, "lapsed"},
                      {RunOutcome::GangMemberEnded, "broken"},
                      {RunOutcome::GangIncomplete, "alone"}}});

/// A worker's report that a run has ended.
struct RunEnd {
  /// Number in the worker's list of ended runs, from 1 in each incarnation.
  int64_t Sequence = 0;
  TaskKey Task;
  int64_t Run = 0;
  RunOutcome Outcome = RunOutcome::Done;
  std::string Checkpoint;
};

} // namespace vanillayard

#endif
