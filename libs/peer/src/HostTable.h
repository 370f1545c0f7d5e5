#ifndef VANILLAYARD_PEER_SRC_HOSTTABLE_H
#define VANILLAYARD_PEER_SRC_HOSTTABLE_H

#include "peer/PeerHost.h"
#include "wire/DataCentreDigest.h"

#include <map>
#include <set>
#include <vector>

namespace vanillayard {

/// Times after which silence changes the state of a host.
struct HostTimeouts {
  absl::Duration Suspect = absl::Seconds(3);
  absl::Duration Dead = absl::Seconds(6);
  /// For a host known from digests only. Longer, so that the hosts of a data
  /// centre outlive the change of the planner that tells of them.
  absl::Duration RelayedSuspect = absl::Seconds(6);
  absl::Duration RelayedDead = absl::Seconds(12);
  /// Time after which a dead host is removed, with its last incarnation.
  absl::Duration Forget = absl::Minutes(10);
};

/// The other entry hosts and the evidence that each one is live.
///
/// A message of an incarnation below the highest one seen of its host is
/// stale and changes nothing.
class HostTable {
public:
  enum class Verdict { Stale, Known, Started };

  static constexpr size_t MaxHosts = 1024;

  HostTable(HostId Self, HostTimeouts Timeouts)
      : Self(std::move(Self)), Timeouts(Timeouts) {}

  /// Takes a message from the host itself.
  Verdict observeDirect(const DataCentreId &DataCentre, const HostDigest &Seen,
                        absl::Time Now);
  /// Takes the list of live hosts that \p Relay knew at \p Heard. A host that
  /// the relay's list does not have any more loses this evidence.
  void observeRelayed(const DataCentreId &DataCentre, const HostId &Relay,
                      const std::vector<HostDigest> &Hosts, absl::Time Heard);

  /// Computes all states anew and returns the hosts that changed since the
  /// last call.
  std::vector<HostId> update(absl::Time Now);

  /// Counts a pause of this process as no silence of the others.
  void shift(absl::Duration Pause, absl::Time Now);

  const PeerHost *find(const HostId &Host) const;
  PeerHost *find(const HostId &Host);
  const PeerHost *findAt(const Endpoint &Address) const;
  std::vector<const PeerHost *> all() const;
  std::vector<const PeerHost *> usable(const DataCentreId &DataCentre) const;
  std::set<DataCentreId> dataCentres() const;
  /// The hosts of a data centre for a digest, in order of their ids.
  std::vector<HostDigest> digestOf(const DataCentreId &DataCentre) const;
  size_t usableCount() const;

private:
  struct Entry {
    PeerHost Host;
    bool IsLeaving = false;
    bool IsChanged = true;
    /// By relay, when it last had this host in its list.
    std::map<HostId, absl::Time> Relayed;
    /// Last sign of life of any kind, also one that a relay has taken back.
    absl::Time LastEvidence;
  };

  Verdict observe(const DataCentreId &DataCentre, const HostDigest &Seen,
                  absl::Time When);
  PeerState stateOf(const Entry &E, absl::Time Now) const;

  HostId Self;
  HostTimeouts Timeouts;
  std::map<HostId, Entry> Entries;
};

} // namespace vanillayard

#endif
