#ifndef VANILLAYARD_PEER_TESTING_FAKEPEERNETWORK_H
#define VANILLAYARD_PEER_TESTING_FAKEPEERNETWORK_H

#include "base/Executor.h"
#include "peer/PeerTransport.h"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace vanillayard {

/// In-memory peer transports with fault injection. Two hosts are connected one
/// round trip after one of them has called connect() and both are attached.
/// Must outlive its transports.
class FakePeerNetwork {
public:
  explicit FakePeerNetwork(Executor &Exec, uint64_t Seed = 1);

  /// Makes the transport of a host. Destroying it detaches the host from the
  /// network; messages that it has sent still arrive.
  /// \param Host executor that runs the receive callback; by default the
  ///        network's executor.
  std::unique_ptr<PeerTransport> attach(const Endpoint &Address);
  std::unique_ptr<PeerTransport> attach(const Endpoint &Address,
                                        Executor &Host);

  /// Time from send to receipt. Default 1 ms.
  void setLatency(absl::Duration Value) { this->Latency = Value; }
  /// Probability that a message is lost, 0 to 1. Default 0.
  void setLossShare(double Value) { this->LossShare = Value; }

  /// Drops all messages in one direction. Sends still succeed, as on a TCP
  /// connection that has not timed out.
  void cut(const Endpoint &From, const Endpoint &To);
  void heal(const Endpoint &From, const Endpoint &To);
  /// Undoes all cuts.
  void healAll() { this->Cuts.clear(); }

  /// Holds back all messages to and from a host until thaw().
  void freeze(const Endpoint &Address) { this->Frozen.insert(Address); }
  void thaw(const Endpoint &Address);

  /// Number of messages sent on a connection, including lost ones.
  uint64_t messagesSent() const { return this->Sent; }

private:
  class Transport;
  struct Delivery {
    Endpoint From;
    Endpoint To;
    /// Process at the other end of the connection when the message was sent.
    uint64_t Receiver = 0;
    std::string Message;
  };

  bool isLinked(const Endpoint &From, const Endpoint &To) const;
  absl::Status send(const Endpoint &From, const Endpoint &To,
                    std::string Message);
  void arrive(Delivery Message);

  Executor &Exec;
  std::mt19937_64 Random;
  absl::Duration Latency = absl::Milliseconds(1);
  double LossShare = 0;
  uint64_t Sent = 0;
  uint64_t NextProcess = 1;
  std::map<Endpoint, Transport *> Attached;
  std::set<std::pair<Endpoint, Endpoint>> Cuts;
  std::set<Endpoint> Frozen;
  std::vector<Delivery> Held;
  /// Keeps messages of one direction in order when the latency changes.
  std::map<std::pair<Endpoint, Endpoint>, absl::Time> LastArrival;
};

} // namespace vanillayard

#endif
