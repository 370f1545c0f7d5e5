#ifndef VANILLAYARD_PEER_SRC_ADDRESSBOOK_H
#define VANILLAYARD_PEER_SRC_ADDRESSBOOK_H

#include "base/Ids.h"

#include "absl/time/time.h"

#include <map>
#include <set>
#include <vector>

namespace vanillayard {

/// Collects addresses that may belong to entry hosts, from settings, from the
/// platform's host list and from peers.
class AddressBook {
public:
  /// An address from a peer is dropped when no peer has reported it for this
  /// long.
  static constexpr absl::Duration ReportedLifetime = absl::Minutes(1);
  static constexpr size_t MaxReported = 512;

  AddressBook(Endpoint Self, std::vector<Endpoint> Seeds);

  /// Replaces the addresses from the platform's host list.
  void setListed(const std::vector<Endpoint> &Addresses);
  /// Adds an address that a peer reported, or renews it. A new one is ignored
  /// when there are MaxReported already.
  void addReported(const Endpoint &Address, absl::Time Now);
  /// All addresses except that of this host; drops outdated reports.
  std::set<Endpoint> candidates(absl::Time Now);

private:
  Endpoint Self;
  std::set<Endpoint> Seeds;
  std::set<Endpoint> Listed;
  std::map<Endpoint, absl::Time> Reported;
};

} // namespace vanillayard

#endif
