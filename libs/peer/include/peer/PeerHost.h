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
  /// Silent for longer than the suspect timeout; may still be given work and
  /// roles.
  Suspect,
  /// Has announced that it shuts down; gets no new work.
  Leaving,
  Dead,
};

inline constexpr EnumNames<PeerState, 4>
    PeerStateNames({{{PeerState::Live, "live"},
                     {PeerState::Suspect, "suspect"},
                     {PeerState::Leaving, "leaving"},
                     {PeerState::Dead, "dead"}}});

/// Another entry host, as seen by this one.
struct PeerHost {
  HostId Host;
  DataCentreId DataCentre;
  Endpoint Address;
  int64_t Incarnation = 0;
  PeerState State = PeerState::Dead;
  /// Time of the last message from the host itself, shifted by later pauses of
  /// this process; infinite past if there was none.
  absl::Time LastDirect = absl::InfinitePast();
  /// Generation of the configuration in its last heartbeat.
  int64_t Generation = 0;
  /// True if only the planner of its data centre sends heartbeats to other
  /// data centres, as its last heartbeat says.
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
