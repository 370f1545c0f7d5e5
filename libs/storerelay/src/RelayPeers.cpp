#include "RelayPeers.h"

#include "RelayClient.h"

#include <algorithm>

namespace vanillayard {

void RelayPeers::update(const std::vector<Endpoint> &Addresses) {
  std::erase_if(this->Peers, [&Addresses](const Entry &Peer) {
    return std::find(Addresses.begin(), Addresses.end(), Peer.first) ==
           Addresses.end();
  });
  for (const Endpoint &Address : Addresses) {
    bool IsKnown = std::any_of(
        this->Peers.begin(), this->Peers.end(),
        [&Address](const Entry &Peer) { return Peer.first == Address; });
    if (!IsKnown)
      this->Peers.emplace_back(
          Address, std::make_shared<RelayClient>(this->Loop, Address));
  }
}

std::shared_ptr<CoordinationStore> RelayPeers::firstPeer() {
  return this->Peers.empty() ? nullptr : this->Peers.front().second;
}

void RelayPeers::demote(const CoordinationStore &Peer) {
  auto Found = std::find_if(
      this->Peers.begin(), this->Peers.end(),
      [&Peer](const Entry &Known) { return Known.second.get() == &Peer; });
  if (Found != this->Peers.end())
    std::rotate(Found, Found + 1, this->Peers.end());
}

} // namespace vanillayard
