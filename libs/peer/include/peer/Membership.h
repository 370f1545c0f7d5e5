#ifndef VANILLAYARD_PEER_MEMBERSHIP_H
#define VANILLAYARD_PEER_MEMBERSHIP_H

#include "base/Ids.h"
#include "peer/PeerHost.h"
#include "peer/PeerTraffic.h"
#include "wire/Envelope.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vanillayard {

class Executor;
class HostDirectory;
class HybridLogicalClock;
class Log;
class MembershipListener;
class Metrics;
class PeerTransport;

/// The entry hosts that are live, as this host sees them, and the messages
/// between them.
///
/// Each host sends a heartbeat to its peers each second: to all hosts, or,
/// above a number of hosts, to those of its data centre only, while the
/// planners of the data centres exchange digests and pass them on.
class Membership {
public:
  class Impl;
  using ReplyCallback = std::function<void(absl::StatusOr<Envelope>)>;

  class Builder {
  public:
    /// All must outlive the object that is built.
    Builder(Executor &Exec, PeerTransport &Transport,
            HybridLogicalClock &Clock);
    /// Required.
    Builder &host(HostId Value);
    /// Required.
    Builder &dataCentre(DataCentreId Value);
    /// Address that the transport announces. Required.
    Builder &address(Endpoint Value);
    /// Must be higher at every start of the host. Default: the time of
    /// build() in microseconds.
    Builder &incarnation(int64_t Value);
    /// Addresses of hosts to meet the others through. Default: none.
    Builder &seeds(std::vector<Endpoint> Value);
    /// The platform's list, another source of addresses. Default: none.
    Builder &directory(HostDirectory *Value);
    /// Time between two reads of the platform's list. Default 15 s.
    Builder &directoryInterval(absl::Duration Value);
    /// Time between two heartbeats. Default 1 s.
    Builder &heartbeatInterval(absl::Duration Value);
    /// Number of hosts above which only planners send heartbeats to other data
    /// centres. Default 12.
    Builder &relayAbove(int Value);
    /// Default: none.
    Builder &log(Log *Value);
    /// Default: none.
    Builder &metrics(Metrics *Value);
    /// Error: InvalidArgument for a missing or bad parameter.
    absl::StatusOr<std::unique_ptr<Membership>> build();

  private:
    friend class Impl;
    Executor &Exec;
    PeerTransport &Transport;
    HybridLogicalClock &Clock;
    HostId Host;
    DataCentreId DataCentre;
    Endpoint Address;
    int64_t Incarnation = 0;
    std::vector<Endpoint> Seeds;
    HostDirectory *Directory = nullptr;
    absl::Duration DirectoryInterval = absl::Seconds(15);
    absl::Duration HeartbeatInterval = absl::Seconds(1);
    int RelayAbove = 12;
    Log *Output = nullptr;
    Metrics *Registry = nullptr;
  };

  ~Membership();

  /// Begins to send heartbeats. Call it once, after adding the listeners.
  void start();
  /// Tells the peers that this host takes no more work and gives up its roles.
  /// Messages still arrive and can be sent.
  void leave();

  void addListener(MembershipListener *Listener);
  void removeListener(MembershipListener *Listener);

  // What this host tells the others.

  /// Generation of the configuration that this host has applied. A higher one
  /// is told to the peers at once.
  void setGeneration(int64_t Generation);
  /// Load of this host: its queues and the workers that it polls.
  void setLoad(const LoadSummary &Load);
  /// View of a worker that this host polls. Version and Brief are ignored.
  void publishWorker(WorkerView View);
  /// For a worker that this host does not poll any more.
  void withdrawWorker(const WorkerId &Worker);
  /// Names of warnings for the other hosts; at most 16 are told.
  void setWarnings(std::vector<std::string> Names);

  // What this host knows.

  const HostId &self() const;
  int64_t incarnation() const;
  bool isLeaving() const;
  /// All other hosts, also dead ones of the last ten minutes.
  std::vector<PeerHost> hosts() const;
  std::optional<PeerHost> find(const HostId &Host) const;
  /// Live and suspect hosts of a data centre in order of their ids, this one
  /// included unless it leaves.
  std::vector<HostId> liveHosts(const DataCentreId &DataCentre) const;
  /// Data centres with a host that is known, also a dead one.
  std::vector<DataCentreId> dataCentres() const;
  /// True if this host is the planner of its data centre. False after a pause
  /// that was long enough for another host to take over.
  bool isPlanner() const;
  /// The planner of a data centre; none while the role moves.
  std::optional<HostId> planner(const DataCentreId &DataCentre) const;
  /// The host of this data centre that polls a worker, if any is live.
  std::optional<HostId> ownerOf(const WorkerId &Worker) const;
  bool ownsWorker(const WorkerId &Worker) const;
  /// The host to forward a request to, which differs between senders and has
  /// the shorter queue of two.
  /// \param Tried hosts that are left out.
  std::optional<HostId> bestPeerFor(const DataCentreId &DataCentre,
                                    const std::set<HostId> &Tried = {}) const;
  /// Load of a data centre, summed over its live hosts.
  LoadSummary loadOf(const DataCentreId &DataCentre) const;
  /// The workers of this data centre, each as told by the host that polls it.
  std::vector<WorkerView> workers() const;
  /// Place of this host among all live hosts, from 0; differs between hosts.
  int rank() const;
  /// True if heartbeats to other data centres go through planners.
  bool isRelaying() const;
  const PeerTraffic &traffic() const;

  // Messages.

  /// Sends a message that needs no reply.
  /// \returns NoCapacity if it was not sent, PayloadTooLarge.
  absl::Status send(const HostId &To, PeerMessage Message);
  /// Sends a ConfigRequest, ForwardRequest or JobQuery. \p Done runs once, not
  /// from inside the call. Errors: NoCapacity or PayloadTooLarge if nothing
  /// was sent, OutcomeUnknown if there was no reply.
  void request(const HostId &To, PeerMessage Message, absl::Duration Timeout,
               ReplyCallback Done);
  /// Answers a request that a listener got.
  absl::Status reply(const Envelope &Request, PeerMessage Message);

private:
  explicit Membership(std::unique_ptr<Impl> Implementation);

  std::unique_ptr<Impl> Implementation;
};

} // namespace vanillayard

#endif
