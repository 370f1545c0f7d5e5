#ifndef VANILLAYARD_PEER_PEERTRAFFIC_H
#define VANILLAYARD_PEER_PEERTRAFFIC_H

#include <cstdint>

namespace vanillayard {

/// Counts of messages and their bytes. The bytes include the 4-byte length
/// field of each frame, but not the headers of TCP and IP.
struct PeerTraffic {
  uint64_t HeartbeatBytesSent = 0;
  uint64_t HeartbeatBytesReceived = 0;
  uint64_t OtherBytesSent = 0;
  uint64_t OtherBytesReceived = 0;
  uint64_t HeartbeatsSent = 0;
  /// Messages that could not be decoded or were of an old incarnation.
  uint64_t MessagesRefused = 0;
};

} // namespace vanillayard

#endif
