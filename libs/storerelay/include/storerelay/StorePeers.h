#ifndef VANILLAYARD_STORERELAY_STOREPEERS_H
#define VANILLAYARD_STORERELAY_STOREPEERS_H

#include <cstddef>
#include <memory>

namespace vanillayard {

class CoordinationStore;

/// Port to the other hosts that can call the store on behalf of this one.
class StorePeers {
public:
  virtual ~StorePeers() = default;

  virtual size_t count() const = 0;
  /// The store, called through the peer that is asked first; null if there are
  /// no peers.
  virtual std::shared_ptr<CoordinationStore> firstPeer() = 0;
  /// Moves \p Peer to the end of the order in which peers are asked.
  virtual void demote(const CoordinationStore &Peer) = 0;
};

} // namespace vanillayard

#endif
