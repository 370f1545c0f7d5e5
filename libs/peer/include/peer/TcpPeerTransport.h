#ifndef VANILLAYARD_PEER_TCPPEERTRANSPORT_H
#define VANILLAYARD_PEER_TCPPEERTRANSPORT_H

#include "peer/PeerTransport.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <memory>

namespace vanillayard {

class Log;
class LoopExecutor;

/// PeerTransport over framed TCP links.
///
/// Each side sends its announced address in the first frame. When both sides
/// have dialled, the connection dialled by the side with the smaller address
/// is kept. A link that carries nothing is kept up by empty frames and closed
/// when the peer has been silent for IdleTimeout, since TCP alone notices a
/// cut link only after minutes.
class TcpPeerTransport final : public PeerTransport {
public:
  class Builder {
  public:
    explicit Builder(LoopExecutor &Loop) : Loop(Loop) {}
    /// IP address and port to listen at; port 0 lets the kernel choose.
    /// Required.
    Builder &listen(Endpoint Value);
    /// Address that peers reach this host at. Default: the bound address.
    Builder &announce(Endpoint Value);
    /// Longest delay before the first redial; doubles with every failure.
    /// Default 100 ms.
    Builder &minBackoff(absl::Duration Value);
    /// Longest delay before any redial. Default 2 s.
    Builder &maxBackoff(absl::Duration Value);
    /// Silence after which a link is closed. Default 6 s.
    Builder &idleTimeout(absl::Duration Value);
    /// Default: no log. Must outlive the transport.
    Builder &log(Log *Value);
    /// Errors: InvalidArgument, or Unavailable if the address is taken.
    absl::StatusOr<std::unique_ptr<TcpPeerTransport>> build();

  private:
    friend class TcpPeerTransport;
    LoopExecutor &Loop;
    Endpoint ListenAddress;
    Endpoint AnnouncedAddress;
    absl::Duration MinBackoff = absl::Milliseconds(100);
    absl::Duration MaxBackoff = absl::Seconds(2);
    absl::Duration IdleTimeout = absl::Seconds(6);
    Log *Output = nullptr;
  };

  ~TcpPeerTransport() override;

  void connect(const Endpoint &Peer) override;
  void forget(const Endpoint &Peer) override;
  absl::Status send(const Endpoint &Peer, std::string Message) override;
  void onReceive(ReceiveCallback Receive) override;

  /// The announced address.
  Endpoint address() const;
  /// Number of open connections, also such as were not settled yet.
  size_t connectionCount() const;

  class Impl;

private:
  explicit TcpPeerTransport(std::unique_ptr<Impl> Implementation);

  std::unique_ptr<Impl> Implementation;
};

} // namespace vanillayard

#endif
