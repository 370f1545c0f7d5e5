#ifndef VANILLAYARD_PEER_SRC_ADDRESSBOOK_H
#define VANILLAYARD_PEER_SRC_ADDRESSBOOK_H

#include "base/Ids.h"

#include "absl/time/time.h"

#include <map>
#include <set>
#include <vector>

namespace vanillayard {

/// Addresses that may belong to entry hosts.
class AddressBook {
public:
  /// An address that only a peer told of is dropped after this time.
  static constexpr absl::Duration MentionLifetime = absl::Minutes(1);
  static constexpr size_t MaxMentions = 512;

  AddressBook(Endpoint Self, std::vector<Endpoint> Seeds);

  /// Takes the platform's list, which replaces the earlier one.
  void setListed(const std::vector<Endpoint> &Addresses);
  /// Takes an address that a peer told of.
  void mention(const Endpoint &Address, absl::Time Now);
  /// All addresses except that of this host.
  std::set<Endpoint> candidates(absl::Time Now);

private:
  Endpoint Self;
  std::set<Endpoint> Seeds;
  std::set<Endpoint> Listed;
  std::map<Endpoint, absl::Time> Mentioned;
};

} // namespace vanillayard

#endif
