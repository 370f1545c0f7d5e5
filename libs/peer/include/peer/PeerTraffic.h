#ifndef VANILLAYARD_PEER_PEERTRAFFIC_H
#define VANILLAYARD_PEER_PEERTRAFFIC_H

#include <cstdint>

namespace vanillayard {

/// Bytes of messages with their 4 bytes of frame length, without the headers
/// of TCP and IP.
struct PeerTraffic {
  uint64_t HeartbeatBytesSent = 0;
  uint64_t HeartbeatBytesReceived = 0;
  uint64_t OtherBytesSent = 0;
  uint64_t OtherBytesReceived = 0;
  uint64_t HeartbeatsSent = 0;
  /// Messages that did not decode or were from an old incarnation.
  uint64_t MessagesRefused = 0;
};

} // namespace vanillayard

#endif
