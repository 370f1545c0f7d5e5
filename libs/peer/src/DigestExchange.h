#ifndef VANILLAYARD_PEER_SRC_DIGESTEXCHANGE_H
#define VANILLAYARD_PEER_SRC_DIGESTEXCHANGE_H

#include "HostTable.h"
#include "wire/DataCentreDigest.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace vanillayard {

/// Returns a non-negative 32-bit hash of a list of hosts, to be short on the
/// wire; 0 only for the empty list.
int64_t hashOf(const std::vector<HostDigest> &Hosts);

/// Prepares the digests of data centres that this host sends and stores those
/// that it receives. A digest carries its list of hosts only when the receiver
/// does not have the list yet.
class DigestExchange {
public:
  /// Sets the hash of a digest for \p To and leaves the list of hosts out if it
  /// was sent before.
  DataCentreDigest prepare(const HostId &To, DataCentreDigest Digest);
  /// Makes the next digest of \p DataCentre for \p To carry the list of hosts.
  void resendHosts(const HostId &To, const DataCentreId &DataCentre);

  /// Stores a digest that \p From sent and updates \p Hosts with its list.
  void received(const HostId &From, const DataCentreDigest &Digest,
                HostTable &Hosts, absl::Time Now);
  /// Data centres whose list of hosts \p From has to send again; cleared by the
  /// call.
  std::vector<DataCentreId> takeMissingLists(const HostId &From);

  /// The load in the newest digest of a data centre, if that is not older than
  /// \p MaxAge.
  std::optional<LoadSummary> loadOf(const DataCentreId &DataCentre,
                                    absl::Time Now,
                                    absl::Duration MaxAge) const;
  /// The time at which the newest digest of a data centre was made; infinite
  /// past if there is none.
  absl::Time heardOf(const DataCentreId &DataCentre) const;

  /// Drops the state of the exchange with \p Host, which restarted or died.
  void forget(const HostId &Host);

private:
  /// Peer that the digest is exchanged with, and data centre that it describes.
  using Key = std::pair<HostId, DataCentreId>;
  struct Received {
    DataCentreDigest Digest;
    /// Time at which the digest was made, by its age on arrival.
    absl::Time Heard;
  };

  std::map<Key, int64_t> SentHashes;
  std::map<Key, Received> ReceivedDigests;
  std::set<Key> MissingLists;
};

} // namespace vanillayard

#endif
