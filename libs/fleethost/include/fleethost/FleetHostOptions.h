#ifndef VANILLAYARD_FLEETHOST_FLEETHOSTOPTIONS_H
#define VANILLAYARD_FLEETHOST_FLEETHOSTOPTIONS_H

#include "base/Ids.h"
#include "control/LeaderTerms.h"

#include "absl/time/time.h"

namespace vanillayard {

/// Settings of one entry host.
struct FleetHostOptions {
  HostId Host;
  /// Where callers reach it.
  Endpoint CallerAddress;
  /// Where the load balancer asks whether it is ready.
  Endpoint ReadyAddress;
  /// Where metrics are served; empty for none.
  Endpoint MetricsAddress;
  /// Where other hosts reach this one; empty if there is no such address.
  Endpoint PeerAddress;
  LeaderTerms Terms;
  /// Longest lease that workers grant. A longer one in Terms is shortened.
  absl::Duration LongestWorkerLease = absl::Seconds(6);
  /// Share of a core that this host has. A stronger host stands for the
  /// leader's role earlier.
  double CpuShare = 1.0;
  /// Time to end after SIGTERM before the process is killed.
  absl::Duration Grace = absl::Seconds(6);
};

} // namespace vanillayard

#endif
