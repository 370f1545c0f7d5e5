#ifndef VANILLAYARD_PEER_SRC_MEMBERSHIPIMPL_H
#define VANILLAYARD_PEER_SRC_MEMBERSHIPIMPL_H

#include "AddressBook.h"
#include "DigestExchange.h"
#include "HostTable.h"
#include "PlannerElection.h"
#include "RequestTable.h"
#include "ViewExchange.h"
#include "base/Executor.h"
#include "peer/Membership.h"
#include "peer/MembershipListener.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace vanillayard {

class Counter;
struct HostList;

class Membership::Impl {
public:
  explicit Impl(const Builder &Options);
  ~Impl();

  void start();
  void leave();
  void setGeneration(int64_t Value);

  bool isPlanner() const;
  std::optional<HostId> planner(const DataCentreId &Of) const;
  std::vector<HostId> liveHosts(const DataCentreId &Of) const;
  std::vector<HostId> forwardTargets(const DataCentreId &Of,
                                     const std::set<HostId> &Tried) const;
  LoadSummary loadOf(const DataCentreId &Of) const;

  absl::Status send(const HostId &To, PeerMessage Message, int64_t Correlation);
  void request(const HostId &To, PeerMessage Message, absl::Duration Timeout,
               ReplyCallback Done);

  Executor &Exec;
  PeerTransport &Transport;
  HybridLogicalClock &Clock;
  const HostId Self;
  const DataCentreId DataCentre;
  const Endpoint Address;
  const int64_t Incarnation;

  HostTable Hosts;
  ViewExchange Views;
  LoadSummary Load;
  std::vector<std::string> Warnings;
  bool IsLeaving = false;
  bool IsRelaying = false;
  PeerTraffic Traffic;
  std::vector<MembershipListener *> Listeners;

private:
  /// State of the heartbeats to one address.
  struct Recipient {
    int64_t Incarnation = 0;
    /// Heartbeats sent to this incarnation since the last failed send.
    uint64_t HeartbeatCount = 0;
  };

  // Defined in MembershipImpl.cpp.
  void tick();
  void scheduleTick(absl::Duration Delay);
  void detectPause(absl::Time Now);
  void updateStates();
  void updateRelaying();
  void hostChanged(const HostId &Host);
  void hostStarted(const HostId &Host);
  void received(const Endpoint &From, const std::string &Bytes);
  void heartbeatReceived(const HostId &From, const Heartbeat &Beat);
  void dispatch(const Envelope &Message);
  void pollDirectory();
  void directoryAnswered(const absl::StatusOr<HostList> &List);
  template <typename Call> void notifyListeners(Call Notify);

  // Defined in MembershipHeartbeat.cpp.
  void sendHeartbeats();
  void sendHeartbeatsSoon();
  void sendHeartbeat(const Endpoint &To, const PeerHost *Host);
  bool isRecipient(const PeerHost &Host) const;
  std::map<Endpoint, const PeerHost *> recipients();
  void updateConnections(const std::map<Endpoint, const PeerHost *> &To);
  Heartbeat composeHeartbeat(const PeerHost *To, uint64_t HeartbeatCount);
  std::vector<Endpoint> knownPeersFor(const PeerHost *To,
                                      uint64_t HeartbeatCount) const;
  bool hasToRelay() const;
  void addDigests(const PeerHost &To, uint64_t HeartbeatCount, Heartbeat &Beat);
  DataCentreDigest digestOf(const DataCentreId &Of) const;
  absl::Status transmit(const Endpoint &To, PeerMessage Message,
                        int64_t Correlation);
  void countBytes(bool IsHeartbeat, bool IsSent, size_t Bytes);

  HostDirectory *Directory;
  Log *Output;
  const absl::Duration HeartbeatInterval;
  const absl::Duration DirectoryInterval;
  /// Number of hosts above which only planners send heartbeats to other data
  /// centres.
  const int RelayThreshold;
  PlannerElection Election;
  DigestExchange Digests;
  AddressBook Addresses;
  RequestTable Requests;
  int64_t Generation = 0;
  std::map<Endpoint, Recipient> Recipients;
  std::set<Endpoint> Connected;
  std::map<HostId, std::vector<std::string>> PeerWarnings;
  Executor::TimerId TickTimer = 0;
  Executor::TimerId DirectoryTimer = 0;
  absl::Time LastTick;
  absl::Time LastHeartbeat = absl::InfinitePast();
  absl::Time NextHeartbeat = absl::InfinitePast();
  bool WasPlanner = false;
  /// Counters by (heartbeat or not, sent or received); null without Metrics.
  Counter *ByteCounters[2][2] = {};
  /// Callbacks that cannot be cancelled hold a weak pointer to it and do
  /// nothing once it has expired.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace vanillayard

#endif
