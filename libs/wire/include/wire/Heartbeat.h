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
  /// True if the sender sends heartbeats to other data centres only while it
  /// is a planner.
  bool Relaying = false;
  /// Worker views that changed. Sent only to hosts of the same data centre.
  std::vector<WorkerView> Workers;
  /// Version that Workers continues from: a receiver that has all views up to
  /// this version misses none.
  int64_t ViewsBaseVersion = 0;
  /// Address at which peers reach the sender's peer listener.
  Endpoint Address;
  /// Addresses of live hosts that the receiver may not know.
  std::vector<Endpoint> KnownPeers;
  /// Acknowledges all views up to this version from the receiver's process
  /// with the incarnation AckedIncarnation; 0 if there is nothing to
  /// acknowledge.
  int64_t AckedViewsVersion = 0;
  /// Incarnation of the receiver that AckedViewsVersion refers to, as the
  /// versions of views start again with each process.
  int64_t AckedIncarnation = 0;
  std::vector<DataCentreDigest> Digests;
  /// Data centres whose list of live hosts the sender requests in the next
  /// digest.
  std::vector<DataCentreId> RequestedHostLists;
  /// Names of the warnings that the sender has raised or knows of, each as
  /// "condition" or "condition/subject".
  std::vector<std::string> Warnings;

  friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

} // namespace vanillayard

#endif
