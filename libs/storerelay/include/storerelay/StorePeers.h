#ifndef VANILLAYARD_STORERELAY_STOREPEERS_H
#define VANILLAYARD_STORERELAY_STOREPEERS_H

#include <cstddef>
#include <memory>

namespace vanillayard {

class CoordinationStore;

/// Port for the other hosts that can call the store for this one.
class StorePeers {
public:
  virtual ~StorePeers() = default;

  virtual size_t count() const = 0;
  /// The store as the host that is asked first sees it; null without peers.
  virtual std::shared_ptr<CoordinationStore> first() = 0;
  /// Asks \p Peer last from now on.
  virtual void demote(const CoordinationStore &Peer) = 0;
};

} // namespace vanillayard

#endif
