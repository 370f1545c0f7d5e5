#include "storerelay/StoreRelay.h"

#include "RelayPeers.h"
#include "RelayServer.h"
#include "net/LoopExecutor.h"
#include "storerelay/HostPresence.h"
#include "storerelay/RelayedStore.h"

namespace vanillayard {

class StoreRelay::Impl {
public:
  Impl(LoopExecutor &Loop, CoordinationStore &Direct, const HostId &Host,
       Log &Events)
      : Peers(Loop), Store(Loop, Direct, this->Peers, Events),
        Server(Loop, Direct), Presence(Loop, this->Store, Host, Events) {}

  RelayPeers Peers;
  RelayedStore Store;
  RelayServer Server;
  HostPresence Presence;
};

StoreRelay::StoreRelay(LoopExecutor &Loop, CoordinationStore &Direct,
                       const HostId &Host, Log &Events)
    : Implementation(std::make_unique<Impl>(Loop, Direct, Host, Events)) {}

StoreRelay::~StoreRelay() = default;

CoordinationStore &StoreRelay::store() {
  return this->Implementation->Store;
}

absl::Status StoreRelay::start(const Endpoint &Address) {
  Impl &I = *this->Implementation;
  if (absl::Status Status = I.Server.listen(Address); !Status.ok())
    return Status;
  I.Presence.start(this->address(), [&I](const std::vector<Endpoint> &Others) {
    I.Peers.update(Others);
  });
  return absl::OkStatus();
}

Endpoint StoreRelay::address() const {
  return this->Implementation->Server.address();
}

void StoreRelay::leave() {
  this->Implementation->Presence.leave();
}

} // namespace vanillayard
