#ifndef VANILLAYARD_PEER_TCPPEERTRANSPORT_H
#define VANILLAYARD_PEER_TCPPEERTRANSPORT_H

#include "peer/PeerTransport.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <memory>

namespace vanillayard {

class Log;
class LoopExecutor;

/// PeerTransport over TCP connections with length-prefixed frames.
///
/// Each side sends its announced address in the first frame. When both sides
/// have dialled, the connection dialled by the side with the smaller address
/// is kept. An idle connection carries empty frames as keep-alives. It is
/// closed when nothing was received for IdleTimeout, since TCP alone detects a
/// broken path only after minutes.
class TcpPeerTransport final : public PeerTransport {
public:
  class Builder {
  public:
    explicit Builder(LoopExecutor &Loop) : Loop(Loop) {}
    /// IP address and port to listen at; port 0 lets the kernel choose.
    /// Required.
    Builder &listen(Endpoint Value);
    /// Address at which peers reach this host. Default: the bound address.
    Builder &announce(Endpoint Value);
    /// Upper bound of the random delay before the first redial; doubles with
    /// every failure. Default 100 ms.
    Builder &minBackoff(absl::Duration Value);
    /// Upper bound of the delay before any redial. Default 2 s.
    Builder &maxBackoff(absl::Duration Value);
    /// A connection is closed when nothing was received for this long. Default
    /// 6 s.
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
  /// Number of open connections, including those whose peer has not announced
  /// its address yet.
  size_t connectionCount() const;

  class Impl;

private:
  explicit TcpPeerTransport(std::unique_ptr<Impl> Implementation);

  std::unique_ptr<Impl> Implementation;
};

} // namespace vanillayard

#endif
