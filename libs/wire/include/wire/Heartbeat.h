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
  /// Views that changed; only to hosts of the same data centre.
  std::vector<WorkerView> Workers;
  /// Address that the sender's peer listener is reached at.
  Endpoint Address;
  /// Addresses of live hosts that the receiver may not know.
  std::vector<Endpoint> KnownPeers;
  /// Highest version of the receiver's worker views that the sender has got.
  int64_t ViewsSeen = 0;
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
