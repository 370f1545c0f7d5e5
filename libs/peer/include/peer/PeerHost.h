#ifndef VANILLAYARD_PEER_PEERHOST_H
#define VANILLAYARD_PEER_PEERHOST_H

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "wire/LoadSummary.h"

#include "absl/time/time.h"

#include <cstdint>

namespace vanillayard {

enum class PeerState {
  Live,
  /// Silent for longer than a heartbeat may take; still counted as live.
  Suspect,
  /// Has announced that it ends; gets no new work.
  Leaving,
  Dead,
};

inline constexpr EnumNames<PeerState, 4>
    PeerStateNames({{{PeerState::Live, "live"},
                     {PeerState::Suspect, "suspect"},
                     {PeerState::Leaving, "leaving"},
                     {PeerState::Dead, "dead"}}});

/// Another entry host, as this one knows it.
struct PeerHost {
  HostId Host;
  DataCentreId DataCentre;
  Endpoint Address;
  int64_t Incarnation = 0;
  PeerState State = PeerState::Dead;
  /// Last message that came from the host itself; infinite past if none.
  absl::Time LastDirect = absl::InfinitePast();
  /// Generation of the configuration in its last heartbeat.
  int64_t Generation = 0;
  /// Whether it sends heartbeats only within its data centre.
  bool IsRelaying = false;
  /// Load in its last heartbeat.
  LoadSummary Load;

  /// True if the host may be given work and roles.
  bool isUsable() const {
    return this->State == PeerState::Live || this->State == PeerState::Suspect;
  }
};

} // namespace vanillayard

#endif
