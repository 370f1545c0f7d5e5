#ifndef VANILLAYARD_NET_SRC_CONNECTIONUSE_H
#define VANILLAYARD_NET_SRC_CONNECTIONUSE_H

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>

namespace vanillayard {

enum class ConnectionPhase {
  /// No part of a request has been received.
  Idle,
  /// A part of a request has been received, but not all of it.
  Receiving,
  /// A request is being handled.
  Handling,
  /// The response is being sent.
  Sending,
  /// The server has told the connection to close.
  Closing,
};

/// What one connection uses of a server's limits.
struct ConnectionUse {
  /// IPv4 address of the client, in network byte order; 0 if not known.
  uint32_t Client = 0;
  ConnectionPhase Phase = ConnectionPhase::Idle;
  /// Memory of the input buffer, in bytes.
  size_t InputBytes = 0;
  /// When data was last received.
  absl::Time ActiveAt = absl::InfinitePast();
};

} // namespace vanillayard

#endif
