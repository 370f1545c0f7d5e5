#ifndef VANILLAYARD_PEER_SRC_HOSTTABLE_H
#define VANILLAYARD_PEER_SRC_HOSTTABLE_H

#include "peer/PeerHost.h"
#include "wire/DataCentreDigest.h"

#include <map>
#include <set>
#include <vector>

namespace vanillayard {

/// Durations of silence after which a host changes its state.
struct HostTimeouts {
  absl::Duration Suspect = absl::Seconds(3);
  absl::Duration Dead = absl::Seconds(6);
  /// For a host known from digests only. Longer, so that the hosts of a data
  /// centre are not declared dead while the planner that relays their digest
  /// changes.
  absl::Duration RelayedSuspect = absl::Seconds(6);
  absl::Duration RelayedDead = absl::Seconds(12);
  /// Time after which a dead host is removed together with its incarnation,
  /// against which messages of earlier processes are checked.
  absl::Duration Forget = absl::Minutes(10);
};

/// Stores the other entry hosts and the evidence that each one is live.
///
/// A message of an incarnation below the highest one seen of its host is
/// stale and changes nothing.
class HostTable {
public:
  /// Result of an observation: ignored, of the known process of a host, or of a
  /// process not seen before.
  enum class Observation { Stale, Known, Started };

  static constexpr size_t MaxHosts = 1024;

  HostTable(HostId Self, HostTimeouts Timeouts)
      : Self(std::move(Self)), Timeouts(Timeouts) {}

  /// Records a message from the host itself.
  Observation observeDirect(const DataCentreId &DataCentre,
                            const HostDigest &Seen, absl::Time Now);
  /// Records the list of hosts that the peer \p Relay sent in a digest made at
  /// \p Heard. A host that the relay no longer lists loses this evidence.
  void observeRelayed(const DataCentreId &DataCentre, const HostId &Relay,
                      const std::vector<HostDigest> &Hosts, absl::Time Heard);

  /// Recomputes all states and returns the hosts that changed since the last
  /// call.
  std::vector<HostId> update(absl::Time Now);

  /// Excludes a pause of this process from the silence of the other hosts.
  void excludePause(absl::Duration Pause, absl::Time Now);

  const PeerHost *find(const HostId &Host) const;
  PeerHost *find(const HostId &Host);
  const PeerHost *findByAddress(const Endpoint &Address) const;
  std::vector<const PeerHost *> all() const;
  /// The hosts of a data centre that may be given work and roles.
  std::vector<const PeerHost *> usable(const DataCentreId &DataCentre) const;
  std::set<DataCentreId> dataCentres() const;
  /// The hosts of a data centre that are not dead, as entries of a digest, in
  /// order of their ids.
  std::vector<HostDigest> hostDigests(const DataCentreId &DataCentre) const;
  size_t usableCount() const;

private:
  struct Entry {
    PeerHost Host;
    bool IsLeaving = false;
    bool IsChanged = true;
    /// For each relay that lists this host, the time of its last digest.
    std::map<HostId, absl::Time> Relayed;
    /// Time of the last evidence of any kind, including that of a relay that no
    /// longer lists the host.
    absl::Time LastEvidence;
  };

  Observation observe(const DataCentreId &DataCentre, const HostDigest &Seen,
                      absl::Time When);
  PeerState stateOf(const Entry &E, absl::Time Now) const;

  HostId Self;
  HostTimeouts Timeouts;
  std::map<HostId, Entry> Entries;
};

} // namespace vanillayard

#endif
