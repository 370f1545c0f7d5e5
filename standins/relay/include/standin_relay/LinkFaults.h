#ifndef VANILLAYARD_STANDIN_RELAY_LINKFAULTS_H
#define VANILLAYARD_STANDIN_RELAY_LINKFAULTS_H

#include "absl/time/time.h"

namespace vanillayard {

/// Faults of one relayed link.
struct LinkFaults {
  /// Connections are closed, and new ones are closed right after they are
  /// accepted.
  bool Cut = false;
  /// Connections are accepted and stay open, but no data is forwarded until
  /// this is false again.
  bool Frozen = false;
  /// Delay added to all data, in each direction.
  absl::Duration Delay;
};

} // namespace vanillayard

#endif
