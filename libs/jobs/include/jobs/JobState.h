#ifndef VANILLAYARD_JOBS_JOBSTATE_H
#define VANILLAYARD_JOBS_JOBSTATE_H

#include "base/EnumNames.h"

namespace vanillayard {

enum class JobState {
  Queued,
  /// The record names workers and leases; members may have started.
  Placed,
  /// A member may have run and its worker does not answer yet.
  Unresolved,
  Finished,
  Failed,
  Cancelled,
  NeverFits,
  DeadlineExpired,
  /// A member ran or may have run without a known result, and the job must
  /// not run again.
  OutcomeUnknown,
};

inline constexpr EnumNames<JobState, 9>
    JobStateNames({{{JobState::Queued, "queued"},
                    {JobState::Placed, "placed"},
                    {JobState::Unresolved, "unresolved"},
                    {JobState::Finished, "finished"},
                    {JobState::Failed, "failed"},
                    {JobState::Cancelled, "cancelled"},
                    {JobState::NeverFits, "never_fits"},
                    {JobState::DeadlineExpired, "deadline_expired"},
                    {JobState::OutcomeUnknown, "outcome_unknown"}}});

/// Whether a job in this state never changes again.
inline bool isTerminal(JobState State) {
  return State != JobState::Queued && State != JobState::Placed &&
         State != JobState::Unresolved;
}

} // namespace vanillayard

#endif
