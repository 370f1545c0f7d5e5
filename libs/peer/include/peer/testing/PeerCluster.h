#ifndef VANILLAYARD_PEER_TESTING_PEERCLUSTER_H
#define VANILLAYARD_PEER_TESTING_PEERCLUSTER_H

#include "base/VirtualExecutor.h"
#include "observe/HybridLogicalClock.h"
#include "peer/Membership.h"
#include "peer/testing/FakePeerNetwork.h"
#include "peer/testing/FreezableExecutor.h"
#include "store/testing/FakeHostDirectory.h"

#include <memory>
#include <string>
#include <vector>

namespace vanillayard {

/// Entry hosts with their membership tasks on a virtual clock and a fake
/// network. The first two hosts are the seeds of every host.
class PeerCluster {
public:
  /// Makes \p Count hosts, spread over \p DataCentres, none of them started.
  PeerCluster(int Count, int DataCentres, uint64_t Seed = 1);
  ~PeerCluster();

  /// Applies to hosts that are started later; see Membership::Builder.
  void setRelayThreshold(int Value) { this->RelayThreshold = Value; }

  /// Starts a host; one that runs is replaced by a new process.
  void start(int Host);
  void startAll();
  /// Ends a host's process without an announcement.
  void crash(int Host);
  /// Pauses and resumes a host's process.
  void freeze(int Host);
  void thaw(int Host);

  int size() const { return static_cast<int>(this->Hosts.size()); }
  bool isRunning(int Host) const { return this->Hosts[Host].Member != nullptr; }
  bool isFrozen(int Host) const {
    return this->isRunning(Host) && this->Hosts[Host].Exec->isFrozen();
  }
  Membership &operator[](int Host) { return *this->Hosts[Host].Member; }
  const HostId &id(int Host) const { return this->Hosts[Host].Id; }
  const DataCentreId &dataCentre(int Host) const {
    return this->Hosts[Host].DataCentre;
  }
  const Endpoint &address(int Host) const { return this->Hosts[Host].Address; }

  VirtualExecutor Exec;
  FakePeerNetwork Network;
  /// Lists all hosts, including those that do not run, since the real host
  /// list lags behind.
  FakeHostDirectory Directory;

private:
  struct Host {
    HostId Id;
    DataCentreId DataCentre;
    Endpoint Address;
    int64_t Incarnation = 0;
    // Each member uses the earlier ones and is destroyed before them.
    std::unique_ptr<FreezableExecutor> Exec;
    std::unique_ptr<HybridLogicalClock> Clock;
    std::unique_ptr<PeerTransport> Transport;
    std::unique_ptr<Membership> Member;
  };

  std::vector<Host> Hosts;
  int RelayThreshold = 12;
};

} // namespace vanillayard

#endif
