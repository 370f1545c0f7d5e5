#ifndef VANILLAYARD_STORERELAY_SRC_LINKEDPEERS_H
#define VANILLAYARD_STORERELAY_SRC_LINKEDPEERS_H

#include "base/Ids.h"
#include "storerelay/StorePeers.h"

#include <deque>
#include <utility>
#include <vector>

namespace vanillayard {

class LoopExecutor;

/// The other hosts by their addresses, in the order in which they are asked.
class LinkedPeers final : public StorePeers {
public:
  explicit LinkedPeers(LoopExecutor &Loop) : Loop(Loop) {}

  /// Takes over the addresses of all other hosts. The order of known ones
  /// stays.
  void update(const std::vector<Endpoint> &Addresses);

  size_t count() const override { return this->Peers.size(); }
  std::shared_ptr<CoordinationStore> first() override;
  void demote(const CoordinationStore &Peer) override;

private:
  using Entry = std::pair<Endpoint, std::shared_ptr<CoordinationStore>>;

  LoopExecutor &Loop;
  std::deque<Entry> Peers;
};

} // namespace vanillayard

#endif
