#ifndef VANILLAYARD_STANDIN_RELAY_LINKFAULTS_H
#define VANILLAYARD_STANDIN_RELAY_LINKFAULTS_H

#include "absl/time/time.h"

namespace vanillayard {

/// Faults of one relayed link.
struct LinkFaults {
  /// Connections are closed, and new ones at once after their start.
  bool Cut = false;
  /// Connections are accepted and stay open, and no byte is passed on until
  /// the link is healed.
  bool Frozen = false;
  /// Added to the time of every byte, in each direction.
  absl::Duration Delay;
};

} // namespace vanillayard

#endif
