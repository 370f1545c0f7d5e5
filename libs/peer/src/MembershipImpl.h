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
  /// What was sent to one address.
  struct Recipient {
    int64_t Incarnation = 0;
    /// Heartbeats sent to this incarnation.
    uint64_t Beats = 0;
  };

  // MembershipImpl.cpp
  void tick();
  void armTick(absl::Duration Delay);
  void noticePause(absl::Time Now);
  void refresh();
  void updateRelaying();
  void hostChanged(const HostId &Host);
  void hostStarted(const HostId &Host);
  void received(const Endpoint &From, const std::string &Bytes);
  void heartbeatReceived(const HostId &From, const Heartbeat &Beat);
  void dispatch(const Envelope &Message);
  void pollDirectory();
  void directoryAnswered(const absl::StatusOr<HostList> &List);
  template <typename Call> void notify(Call Notify);

  // MembershipHeartbeat.cpp
  void beat();
  void beatSoon();
  void beatTo(const Endpoint &To, const PeerHost *Host);
  bool isRecipient(const PeerHost &Host) const;
  std::map<Endpoint, const PeerHost *> recipients();
  void updateConnections(const std::map<Endpoint, const PeerHost *> &To);
  Heartbeat compose(const PeerHost *To, uint64_t Beats);
  std::vector<Endpoint> peersFor(const PeerHost *To, uint64_t Beats) const;
  bool hasToRelay() const;
  void addDigests(const PeerHost &To, uint64_t Beats, Heartbeat &Beat);
  DataCentreDigest digestOf(const DataCentreId &Of) const;
  absl::Status transmit(const Endpoint &To, PeerMessage Message,
                        int64_t Correlation);
  void count(bool IsHeartbeat, bool IsSent, size_t Bytes);

  HostDirectory *Directory;
  Log *Output;
  const absl::Duration HeartbeatInterval;
  const absl::Duration DirectoryInterval;
  const int RelayAbove;
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
  absl::Time LastBeat = absl::InfinitePast();
  absl::Time NextBeat = absl::InfinitePast();
  bool WasPlanner = false;
  /// Counters by (heartbeat or not, sent or received); null without Metrics.
  Counter *ByteCounters[2][2] = {};
  /// Callbacks that cannot be cancelled hold a weak reference to it.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace vanillayard

#endif
