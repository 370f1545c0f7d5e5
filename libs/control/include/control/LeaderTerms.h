#ifndef VANILLAYARD_CONTROL_LEADERTERMS_H
#define VANILLAYARD_CONTROL_LEADERTERMS_H

#include "scheduler/SchedulerTerms.h"

#include "absl/time/time.h"

namespace vanillayard {

/// Properties of the deployment that the leader depends on. The host's
/// settings replace the defaults.
struct LeaderTerms {
  SchedulerTerms Scheduling;
  /// Lease that workers are given. It has to outlast the change of the leader;
  /// the tasks of a worker that is lost wait for its end.
  absl::Duration WorkerLease = PreferredWorkerLease;

  /// Twice the time in which a new leader renews all leases after all hosts
  /// were lost together: 2.5 s for the old role to expire, and their start.
  static constexpr absl::Duration PreferredWorkerLease = absl::Seconds(6);
  /// How long a finished job is kept, at least.
  absl::Duration Retention = absl::Seconds(120);
  /// Time between two readings of the workers' registrations.
  absl::Duration RegistrationPoll = absl::Milliseconds(700);
};

} // namespace vanillayard

#endif
