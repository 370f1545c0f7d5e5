#include "peer/testing/PeerCluster.h"

#include <fmt/format.h>

#include <algorithm>

namespace vanillayard {

PeerCluster::PeerCluster(int Count, int DataCentres, uint64_t Seed)
    : Network(this->Exec, Seed), Directory(this->Exec) {
  for (int I = 0; I < Count; ++I) {
    Host H;
    int Centre = I % DataCentres;
    H.Id = HostId(fmt::format("dc{}-entry{}", Centre + 1, I / DataCentres + 1));
    H.DataCentre = DataCentreId(fmt::format("dc{}", Centre + 1));
    H.Address =
        Endpoint(fmt::format("10.0.{}.{}:7400", Centre + 1, I / DataCentres));
    this->Directory.setHost({H.Id.str(), HostRole::Entry, H.DataCentre,
                             RackId(), H.Address, HostState::Live});
    this->Hosts.push_back(std::move(H));
  }
}

PeerCluster::~PeerCluster() {
  for (int I = 0; I < this->size(); ++I)
    this->crash(I);
}

void PeerCluster::start(int Number) {
  this->crash(Number);
  Host &H = this->Hosts[Number];
  H.Exec = std::make_unique<FreezableExecutor>(this->Exec);
  H.Clock = std::make_unique<HybridLogicalClock>(*H.Exec);
  H.Transport = this->Network.attach(H.Address, *H.Exec);
  H.Member = *Membership::Builder(*H.Exec, *H.Transport, *H.Clock)
                  .host(H.Id)
                  .dataCentre(H.DataCentre)
                  .address(H.Address)
                  .incarnation(H.Incarnation)
                  .seeds({this->Hosts[0].Address, this->Hosts[1].Address})
                  .relayThreshold(this->RelayThreshold)
                  .directory(&this->Directory)
                  .build();
  H.Member->start();
}

void PeerCluster::startAll() {
  for (int I = 0; I < this->size(); ++I)
    this->start(I);
}

void PeerCluster::crash(int Number) {
  Host &H = this->Hosts[Number];
  H.Member.reset();
  H.Transport.reset();
  H.Clock.reset();
  H.Exec.reset();
}

void PeerCluster::freeze(int Number) {
  if (this->isRunning(Number))
    this->Hosts[Number].Exec->freeze();
}

void PeerCluster::thaw(int Number) {
  if (this->isRunning(Number))
    this->Hosts[Number].Exec->thaw();
}

} // namespace vanillayard
