#ifndef VANILLAYARD_FLEETHOST_FLEETHOSTOPTIONS_H
#define VANILLAYARD_FLEETHOST_FLEETHOSTOPTIONS_H

#include "base/Ids.h"
#include "control/LeaderOptions.h"

#include "absl/time/time.h"

#include <cstddef>

namespace vanillayard {

/// Settings of one entry host.
struct FleetHostOptions {
  HostId Host;
  /// Address that callers connect to.
  Endpoint CallerAddress;
  /// Address of the load balancer's readiness check.
  Endpoint ReadyAddress;
  /// Address that serves metrics; empty to serve none.
  Endpoint MetricsAddress;
  /// Address that other hosts connect to; empty if there is none.
  Endpoint PeerAddress;
  LeaderOptions Leader;
  /// Longest lease that workers grant. FleetHost caps Leader.WorkerLease to it.
  absl::Duration MaxWorkerLease = absl::Seconds(6);
  /// Share of a CPU core that this host has. A host with a larger share waits
  /// for less time before it runs for a vacant leader role.
  double CpuShare = 1.0;
  /// Memory of the machine, in bytes. The process is killed beyond it.
  size_t MemoryBytes = size_t(256) << 20;
  /// File descriptors that the process may open.
  size_t FileDescriptors = 4096;
  /// Time from SIGTERM until the platform kills the process.
  absl::Duration GracePeriod = absl::Seconds(6);
};

} // namespace vanillayard

#endif
