#ifndef VANILLAYARD_NET_CONNECTIONLIMITS_H
#define VANILLAYARD_NET_CONNECTIONLIMITS_H

#include <cstddef>

namespace vanillayard {

/// Limits of a server over all its connections. When one is reached, the server
/// closes connections of the client that uses the most.
struct ConnectionLimits {
  /// Maximum number of open connections, including those that are being closed.
  size_t MaxConnections = 4096;
  /// Memory for requests that are being received or handled, in bytes. It must
  /// be more than twice the largest body, as input buffers grow by doubling.
  size_t MaxInputBytes = 64 << 20;
};

} // namespace vanillayard

#endif
