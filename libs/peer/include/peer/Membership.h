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

/// Tracks which entry hosts are live, as seen by this host, and exchanges
/// messages with them.
///
/// Each host sends a heartbeat to its peers each second. Up to a threshold
/// number of hosts, the peers are all other hosts. Above it, they are the hosts
/// of the own data centre only; the planners of the data centres then exchange
/// digests of their hosts and relay them to the hosts of their data centre.
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
    /// Addresses of hosts from which this host learns of all others. Default:
    /// none.
    Builder &seeds(std::vector<Endpoint> Value);
    /// The platform's host list, another source of addresses. Default: none.
    Builder &directory(HostDirectory *Value);
    /// Time between two reads of the platform's host list. Default 15 s.
    Builder &directoryInterval(absl::Duration Value);
    /// Time between two heartbeats; must be below 3 s, after which a silent
    /// host is suspect. Default 1 s.
    Builder &heartbeatInterval(absl::Duration Value);
    /// Number of hosts above which only planners send heartbeats to other data
    /// centres. Default 12.
    Builder &relayThreshold(int Value);
    /// Default: none.
    Builder &log(Log *Value);
    /// Default: none.
    Builder &metrics(Metrics *Value);
    /// Error: InvalidArgument for a missing or invalid parameter.
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
    int RelayThreshold = 12;
    Log *Output = nullptr;
    Metrics *Registry = nullptr;
  };

  ~Membership();

  /// Starts sending heartbeats. Call it once, after adding the listeners.
  void start();
  /// Announces to the peers that this host accepts no more work and gives up
  /// its roles. Messages can still be sent and received.
  void leave();

  void addListener(MembershipListener *Listener);
  void removeListener(MembershipListener *Listener);

  // State that this host sends to its peers.

  /// Sets the generation of the configuration that this host has applied. A
  /// higher one is sent to the peers at once, a lower one is ignored.
  void setGeneration(int64_t Generation);
  /// Sets the load of this host: its queues and the workers that it polls.
  void setLoad(const LoadSummary &Load);
  /// Sets the view of a worker that this host polls. Version and Brief are
  /// ignored.
  void publishWorker(WorkerView View);
  /// Tells the peers that this host no longer polls a worker.
  void withdrawWorker(const WorkerId &Worker);
  /// Sets the names of the warnings that the heartbeats carry; at most 16 are
  /// sent.
  void setWarnings(std::vector<std::string> Names);

  // State that this host has received from its peers.

  const HostId &self() const;
  int64_t incarnation() const;
  bool isLeaving() const;
  /// All other hosts, including those that died in the last ten minutes.
  std::vector<PeerHost> hosts() const;
  std::optional<PeerHost> find(const HostId &Host) const;
  /// Live and suspect hosts of a data centre in order of their ids, this one
  /// included unless it leaves.
  std::vector<HostId> liveHosts(const DataCentreId &DataCentre) const;
  /// Data centres of this host and of all hosts(), including dead ones.
  std::vector<DataCentreId> dataCentres() const;
  /// True if this host is the planner of its data centre. False after a pause
  /// of this process that was long enough for another host to become planner.
  bool isPlanner() const;
  /// The planner of a data centre; none while no host holds the role.
  std::optional<HostId> planner(const DataCentreId &DataCentre) const;
  /// The live host of this data centre that polls a worker; none if no host is
  /// live.
  std::optional<HostId> pollingHost(const WorkerId &Worker) const;
  bool isPollingHost(const WorkerId &Worker) const;
  /// Chooses the host to forward a request to: of two candidates, which
  /// rendezvous hashing picks for this sender, the one with the shorter queue.
  /// \param Tried hosts that are excluded.
  std::optional<HostId>
  chooseForwardTarget(const DataCentreId &DataCentre,
                      const std::set<HostId> &Tried = {}) const;
  /// Load of a data centre, summed over its live hosts.
  LoadSummary loadOf(const DataCentreId &DataCentre) const;
  /// The workers of this data centre, each as reported by the host that polls
  /// it.
  std::vector<WorkerView> workers() const;
  /// Rank of this host among all live hosts, from 0, in an order by hash;
  /// hosts that agree on the live hosts have different ranks.
  int rank() const;
  /// True if only planners exchange heartbeats with other data centres.
  bool isRelaying() const;
  const PeerTraffic &traffic() const;

  // Messages.

  /// Sends a message that needs no reply.
  /// \returns NoCapacity if it was not sent, PayloadTooLarge.
  absl::Status send(const HostId &To, PeerMessage Message);
  /// Sends a ConfigRequest, ForwardRequest or JobQuery. \p Done runs once,
  /// after the call has returned. Errors: NoCapacity or PayloadTooLarge if
  /// nothing was sent, OutcomeUnknown if there was no reply.
  void request(const HostId &To, PeerMessage Message, absl::Duration Timeout,
               ReplyCallback Done);
  /// Replies to a request that a listener received.
  absl::Status reply(const Envelope &Request, PeerMessage Message);

private:
  explicit Membership(std::unique_ptr<Impl> Implementation);

  std::unique_ptr<Impl> Implementation;
};

} // namespace vanillayard

#endif
