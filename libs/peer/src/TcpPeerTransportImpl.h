#ifndef VANILLAYARD_PEER_SRC_TCPPEERTRANSPORTIMPL_H
#define VANILLAYARD_PEER_SRC_TCPPEERTRANSPORTIMPL_H

#include "base/Executor.h"
#include "net/FramedListener.h"
#include "peer/TcpPeerTransport.h"

#include "absl/random/random.h"
#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace vanillayard {

class TcpPeerTransport::Impl {
public:
  explicit Impl(const Builder &Options);
  ~Impl();

  absl::Status start(const Endpoint &ListenAddress);
  void connect(const Endpoint &Peer);
  void forget(const Endpoint &Peer);
  absl::Status send(const Endpoint &Peer, const std::string &Message);

  ReceiveCallback Receive;
  Endpoint Announced;

  size_t connectionCount() const { return this->Connections.size(); }

private:
  struct Connection {
    std::unique_ptr<FramedLink> Link;
    /// Announced address of the peer; empty until its first frame.
    Endpoint Peer;
    /// Address that this host dialled; empty if the peer dialled.
    Endpoint Dialled;
    /// Random id that differs between two processes of the peer.
    std::string PeerProcess;
    absl::Time Opened;
    absl::Time LastReceived;
    absl::Time LastSent;
  };

  /// State of an address that connect() was called for.
  struct Dial {
    /// Address that the peer announced when it was last connected.
    Endpoint PeerAddress;
    /// Consecutive failures, from which the backoff follows.
    int Failures = 0;
    /// Connection attempts in progress.
    int Attempts = 0;
    Executor::TimerId Retry = 0;
  };

  using Id = uint64_t;

  void dial(const Endpoint &Peer);
  void dialFinished(const Endpoint &Peer,
                    absl::StatusOr<std::unique_ptr<FramedLink>> Link);
  void retryLater(const Endpoint &Peer);
  void linkOpened(std::unique_ptr<FramedLink> Link, const Endpoint &Dialled);
  void received(Id Number, std::string Message);
  void greetingReceived(Id Number, const std::string &Greeting);
  bool isPreferred(const Connection &New, const Connection &Old) const;
  const Endpoint &diallerOf(const Connection &C) const;
  void close(Id Number, const absl::Status &Reason);
  void tick();
  Connection *activeFor(const Endpoint &Peer);
  absl::Status sendOn(Connection &C, const std::string &Message);

  LoopExecutor &Loop;
  absl::Duration MinBackoff;
  absl::Duration MaxBackoff;
  absl::Duration IdleTimeout;
  Log *Output;
  absl::BitGen Random;
  std::string Process;
  std::unique_ptr<FramedListener> Listener;
  std::map<Id, std::unique_ptr<Connection>> Connections;
  /// The connection in use to each peer, by announced address.
  std::map<Endpoint, Id> Active;
  std::map<Endpoint, Dial> Dials;
  Id NextId = 1;
  Executor::TimerId Ticker = 0;
  absl::Time LastTick;
  /// Callbacks that cannot be cancelled hold a weak pointer to it and do
  /// nothing once it has expired.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace vanillayard

#endif
