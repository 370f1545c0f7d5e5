#ifndef VANILLAYARD_CONTROL_LEADEROPTIONS_H
#define VANILLAYARD_CONTROL_LEADEROPTIONS_H

#include "scheduler/SchedulerSettings.h"

#include "absl/time/time.h"

#include <string>

namespace vanillayard {

/// Settings of the leader. The host's settings override the defaults.
struct LeaderOptions {
  SchedulerSettings Scheduling;
  /// Lease that the leader grants to workers. It must be longer than a change
  /// of leader takes. The tasks of a lost worker restart elsewhere only after
  /// the lease has expired.
  absl::Duration WorkerLease = PreferredWorkerLease;

  /// Twice the time that a new leader needs to renew all leases after all hosts
  /// failed together: 2.5 s until the old leader's lease expires, plus the
  /// start of the hosts.
  static constexpr absl::Duration PreferredWorkerLease = absl::Seconds(6);
  /// Longest lease that workers grant, also if a call names a later end. Not
  /// less than WorkerLease.
  absl::Duration LongestWorkerLease = PreferredWorkerLease;
  /// Minimum time for which the records of a finished job are kept.
  absl::Duration Retention = absl::Seconds(120);
  /// Interval at which workers renew their registrations; one that restarts is
  /// registered within this time. A registration outlasts three intervals.
  absl::Duration RegistrationInterval = absl::Milliseconds(1500);
  /// Interval between two reads of the workers' registrations.
  absl::Duration RegistrationPollInterval = absl::Milliseconds(700);
  /// Prefix of the operators' evacuations in the store. If it is empty, none is
  /// read.
  std::string EvacuationPrefix;
  /// Time within which an evacuation is in force. A leader whose reads of the
  /// evacuations are older starts nothing.
  absl::Duration EvacuationBound = absl::Seconds(5);
};

} // namespace vanillayard

#endif
