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

/// Hash of a list of hosts, in 32 bits to be short on the wire; 0 only for
/// the empty list.
int64_t hashOf(const std::vector<HostDigest> &Hosts);

/// Sends digests of data centres with the list of hosts only when the receiver
/// does not have it, and keeps those received.
class DigestExchange {
public:
  /// Completes a digest for \p To: leaves the list out if it was sent before.
  DataCentreDigest prepare(const HostId &To, DataCentreDigest Digest);
  /// Sends the list of \p DataCentre again to \p To.
  void wanted(const HostId &To, const DataCentreId &DataCentre);

  /// Takes a digest from \p From and enters its hosts in \p Hosts.
  void received(const HostId &From, const DataCentreDigest &Digest,
                HostTable &Hosts, absl::Time Now);
  /// Data centres whose list \p From has to send again; cleared by the call.
  std::vector<DataCentreId> takeWanted(const HostId &From);

  /// The newest load of a data centre, if it was heard within \p MaxAge.
  std::optional<LoadSummary> loadOf(const DataCentreId &DataCentre,
                                    absl::Time Now,
                                    absl::Duration MaxAge) const;
  /// When a digest of the data centre was made last.
  absl::Time heardOf(const DataCentreId &DataCentre) const;

  /// Forgets what \p Host has and has sent, since it started again or is gone.
  void forget(const HostId &Host);

private:
  using Key = std::pair<HostId, DataCentreId>;
  struct Received {
    DataCentreDigest Digest;
    absl::Time Heard;
  };

  std::map<Key, int64_t> SentHashes;
  std::map<Key, Received> Kept;
  std::set<Key> Wanted;
};

} // namespace vanillayard

#endif
