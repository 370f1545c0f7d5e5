#ifndef VANILLAYARD_PEER_PEERTRANSPORT_H
#define VANILLAYARD_PEER_PEERTRANSPORT_H

#include "base/Ids.h"

#include "absl/status/status.h"

#include <functional>
#include <string>

namespace vanillayard {

/// Carries encoded messages between entry hosts. Delivery is at most once and
/// in order on one connection; a message to a peer that is not connected is
/// dropped.
class PeerTransport {
public:
  using ReceiveCallback =
      std::function<void(const Endpoint &From, std::string Message)>;

  virtual ~PeerTransport() = default;

  /// Opens a connection to \p Peer and reopens it with backoff whenever it
  /// fails, until forget().
  virtual void connect(const Endpoint &Peer) = 0;
  /// Closes the connection to \p Peer and stops reopening it.
  virtual void forget(const Endpoint &Peer) = 0;

  /// Sends one message.
  /// \returns Unavailable if there is no connection, ResourceExhausted if the
  ///          peer does not read and the send buffer is full.
  virtual absl::Status send(const Endpoint &Peer, std::string Message) = 0;

  /// Sets the callback for received messages. \c From is the address that the
  /// peer announced.
  virtual void onReceive(ReceiveCallback Receive) = 0;
};

} // namespace vanillayard

#endif
