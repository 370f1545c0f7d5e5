#ifndef VANILLAYARD_WIRE_HEARTBEAT_H
#define VANILLAYARD_WIRE_HEARTBEAT_H

#include "base/Ids.h"
#include "wire/DataCentreDigest.h"
#include "wire/LoadSummary.h"
#include "wire/WorkerView.h"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillayard {

enum class HostPhase { Live, Leaving };

/// Sent to every peer each second.
struct Heartbeat {
  /// Generation of the configuration that the sender has applied; 0 for none.
  int64_t Generation = 0;
  HostPhase Phase = HostPhase::Live;
  LoadSummary Load;
  /// True if the sender, unless it is a planner, sends no heartbeats to other
  /// data centres.
  bool Relaying = false;
  /// Views that changed; only to hosts of the same data centre.
  std::vector<WorkerView> Workers;
  /// The views follow without a gap on those up to this version.
  int64_t ViewsAfter = 0;
  /// Address that the sender's peer listener is reached at.
  Endpoint Address;
  /// Addresses of live hosts that the receiver may not know.
  std::vector<Endpoint> KnownPeers;
  /// Version up to which the sender has got all views of the receiver's
  /// process ViewsSeenOf; 0 if there is nothing to acknowledge.
  int64_t ViewsSeen = 0;
  /// Incarnation of the receiver. Versions begin anew with each process.
  int64_t ViewsSeenOf = 0;
  std::vector<DataCentreDigest> Digests;
  /// Data centres of which the sender wants the list of hosts in the next
  /// digest.
  std::vector<DataCentreId> WantedHostsOf;
  /// Names of the warnings the sender has given or knows of, each as
  /// "condition" or "condition/subject".
  std::vector<std::string> Warnings;

  friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

} // namespace vanillayard

#endif
