#ifndef VANILLAYARD_STORERELAY_TESTS_FAKEPEERS_H
#define VANILLAYARD_STORERELAY_TESTS_FAKEPEERS_H

#include "store/CoordinationStore.h"
#include "storerelay/StorePeers.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace vanillayard {

/// Peers without links, asked in the order of Stores.
class FakePeers final : public StorePeers {
public:
  std::vector<std::shared_ptr<CoordinationStore>> Stores;
  /// Called after each demotion, if set.
  std::function<void()> OnDemoted;

  size_t count() const override { return this->Stores.size(); }
  std::shared_ptr<CoordinationStore> firstPeer() override {
    return this->Stores.empty() ? nullptr : this->Stores.front();
  }
  void demote(const CoordinationStore &Peer) override {
    auto Found = std::find_if(
        this->Stores.begin(), this->Stores.end(),
        [&Peer](const auto &Store) { return Store.get() == &Peer; });
    if (Found != this->Stores.end())
      std::rotate(Found, Found + 1, this->Stores.end());
    if (this->OnDemoted)
      this->OnDemoted();
  }
};

} // namespace vanillayard

#endif
