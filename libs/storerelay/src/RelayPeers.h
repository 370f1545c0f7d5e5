#ifndef VANILLAYARD_STORERELAY_SRC_RELAYPEERS_H
#define VANILLAYARD_STORERELAY_SRC_RELAYPEERS_H

#include "base/Ids.h"
#include "storerelay/StorePeers.h"

#include <deque>
#include <utility>
#include <vector>

namespace vanillayard {

class LoopExecutor;

/// One RelayClient for each other host, in the order in which they are asked.
class RelayPeers final : public StorePeers {
public:
  explicit RelayPeers(LoopExecutor &Loop) : Loop(Loop) {}

  /// Replaces the set of peers by the hosts at \p Addresses. Peers that stay
  /// keep their clients and their order; new peers are appended.
  void update(const std::vector<Endpoint> &Addresses);

  size_t count() const override { return this->Peers.size(); }
  std::shared_ptr<CoordinationStore> firstPeer() override;
  void demote(const CoordinationStore &Peer) override;

private:
  using Entry = std::pair<Endpoint, std::shared_ptr<CoordinationStore>>;

  LoopExecutor &Loop;
  std::deque<Entry> Peers;
};

} // namespace vanillayard

#endif
