#include "peer/testing/PeerCluster.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

using namespace vanillayard;

/// A cluster with random faults, and the checks of what each host must know
/// after them.
class FaultyCluster {
public:
  FaultyCluster(int Count, int DataCentres)
      : Cluster(Count, DataCentres, *rc::gen::inRange<uint64_t>(1, 1000000)) {
    this->Cluster.startAll();
  }

  /// Injects or repairs one random fault.
  void applyRandomFault() {
    int Host = this->randomHost();
    int Other = this->randomHost();
    int Action = *rc::gen::inRange(0, 11);
    RC_LOG() << absl::FormatTime(this->Cluster.Exec.now()) << " action "
             << Action << " host " << Host << " other " << Other << std::endl;
    switch (Action) {
    case 0:
      this->Cluster.crash(Host);
      break;
    case 1:
    case 2:
      this->Cluster.start(Host);
      break;
    case 3:
      this->Cluster.freeze(Host);
      break;
    case 4:
      this->Cluster.thaw(Host);
      break;
    case 5:
      this->Cluster.Network.freeze(this->Cluster.address(Host));
      break;
    case 6:
      this->Cluster.Network.thaw(this->Cluster.address(Host));
      break;
    case 7:
      this->Cluster.Network.cut(this->Cluster.address(Host),
                                this->Cluster.address(Other));
      break;
    case 8:
      this->isolateDataCentre(Host);
      break;
    case 9:
      this->Cluster.Network.healAll();
      this->Cluster.Network.setLossShare(
          *rc::gen::elementOf(std::vector<double>{0, 0.1, 0.5}));
      break;
    default:
      this->leave(Host);
    }
  }

  void run(absl::Duration Time) {
    constexpr absl::Duration Slice = absl::Milliseconds(500);
    for (; Time > absl::ZeroDuration(); Time -= Slice) {
      this->publishWorkers();
      this->Cluster.Exec.advance(std::min(Slice, Time));
      this->checkIncarnations();
    }
  }

  void endFaults() {
    this->Cluster.Network.healAll();
    this->Cluster.Network.setLossShare(0);
    for (int I = 0; I < this->Cluster.size(); ++I) {
      this->Cluster.Network.thaw(this->Cluster.address(I));
      this->Cluster.thaw(I);
      if (this->Cluster.isRunning(I) && this->Cluster[I].isLeaving())
        this->Cluster.crash(I);
    }
  }

  /// Ends the faults and stops changing the workers.
  void finish() {
    this->publishWorkers();
    this->IsPublishingStopped = true;
    this->endFaults();
  }

  /// Checks that host \p I knows the live hosts, the planner and the workers of
  /// its data centre.
  void checkOwnDataCentre(int I) {
    const DataCentreId &Own = this->Cluster.dataCentre(I);
    std::vector<HostId> Running = this->runningHosts(Own);
    RC_LOG() << "host " << I << std::endl;
    RC_ASSERT(this->Cluster[I].liveHosts(Own) == Running);
    RC_ASSERT(this->Cluster[I].planner(Own).has_value());
    std::vector<HostId> Planners;
    for (int J = 0; J < this->Cluster.size(); ++J)
      if (this->Cluster.isRunning(J) && this->Cluster.dataCentre(J) == Own &&
          this->Cluster[J].isPlanner())
        Planners.push_back(this->Cluster.id(J));
    RC_ASSERT(Planners == std::vector<HostId>{*this->Cluster[I].planner(Own)});
    std::map<WorkerId, WorkerView> Views;
    for (WorkerView &View : this->Cluster[I].workers())
      Views[View.Worker] = View;
    for (int J = 0; J < this->Cluster.size(); ++J) {
      if (!this->Cluster.isRunning(J) || this->Cluster.dataCentre(J) != Own ||
          this->Published.count(J) == 0)
        continue;
      WorkerView Got = Views[this->Published[J].Worker];
      Got.Version = 0;
      RC_LOG() << "worker of host " << J << std::endl;
      RC_ASSERT(Got == this->Published[J]);
    }
  }

  /// Checks that host \p I knows the live hosts and a planner of each data
  /// centre.
  void checkOtherDataCentres(int I) {
    for (const DataCentreId &Of : this->Cluster[I].dataCentres()) {
      RC_LOG() << "host " << I << " sees " << Of << std::endl;
      RC_ASSERT(this->Cluster[I].liveHosts(Of) == this->runningHosts(Of));
      RC_ASSERT(this->runningHosts(Of).empty() ||
                this->Cluster[I].planner(Of).has_value());
    }
  }

  PeerCluster Cluster;

private:
  int randomHost() { return *rc::gen::inRange(0, this->Cluster.size()); }

  std::vector<HostId> runningHosts(const DataCentreId &DataCentre) {
    std::vector<HostId> Running;
    for (int I = 0; I < this->Cluster.size(); ++I)
      if (this->Cluster.isRunning(I) &&
          this->Cluster.dataCentre(I) == DataCentre)
        Running.push_back(this->Cluster.id(I));
    std::sort(Running.begin(), Running.end());
    return Running;
  }

  void isolateDataCentre(int Member) {
    for (int I = 0; I < this->Cluster.size(); ++I)
      for (int J = 0; J < this->Cluster.size(); ++J) {
        bool IsInside =
            this->Cluster.dataCentre(I) == this->Cluster.dataCentre(Member);
        bool IsOtherInside =
            this->Cluster.dataCentre(J) == this->Cluster.dataCentre(Member);
        if (IsInside != IsOtherInside)
          this->Cluster.Network.cut(this->Cluster.address(I),
                                    this->Cluster.address(J));
      }
  }

  /// Makes a host announce that it leaves. If no fault is active, all hosts
  /// that it knows must exclude it as soon as the message has arrived.
  void leave(int Host) {
    if (!this->Cluster.isRunning(Host))
      return;
    bool IsChecked = *rc::gen::arbitrary<bool>();
    if (IsChecked) {
      this->endFaults();
      if (!this->Cluster.isRunning(Host))
        return;
      this->run(absl::Seconds(3));
    }
    this->Cluster[Host].leave();
    if (!IsChecked)
      return;
    this->Cluster.Exec.advance(absl::Milliseconds(2));
    for (int I = 0; I < this->Cluster.size(); ++I) {
      if (!this->Cluster.isRunning(I) || this->Cluster[I].isRelaying())
        continue;
      auto Live = this->Cluster[I].liveHosts(this->Cluster.dataCentre(Host));
      RC_ASSERT(std::find(Live.begin(), Live.end(), this->Cluster.id(Host)) ==
                Live.end());
    }
  }

  /// Makes each running host publish one worker at its start and, until
  /// finish(), change it in one of five calls on average.
  void publishWorkers() {
    for (int I = 0; I < this->Cluster.size(); ++I) {
      if (!this->Cluster.isRunning(I)) {
        this->Published.erase(I);
        continue;
      }
      int64_t Incarnation = this->Cluster[I].incarnation();
      bool IsNewProcess = this->PublishedBy[I] != Incarnation;
      if (this->IsPublishingStopped ||
          (!IsNewProcess && ++this->Changes % 5 != 0))
        continue;
      this->PublishedBy[I] = Incarnation;
      WorkerView View;
      View.Worker = WorkerId("worker-" + this->Cluster.id(I).str());
      View.Address = Endpoint("10.1.0.1:80");
      View.Rack = RackId("rack");
      View.TotalSlots = 8;
      View.FreeSlots = this->Changes % 8;
      this->Cluster[I].publishWorker(View);
      this->Published[I] = View;
    }
  }

  void checkIncarnations() {
    for (int I = 0; I < this->Cluster.size(); ++I) {
      if (!this->Cluster.isRunning(I))
        continue;
      for (const PeerHost &Host : this->Cluster[I].hosts()) {
        int64_t &Highest =
            this->Incarnations[{this->Cluster[I].incarnation(), I, Host.Host}];
        RC_ASSERT(Host.Incarnation >= Highest);
        Highest = Host.Incarnation;
      }
    }
  }

  bool IsPublishingStopped = false;
  int Changes = 0;
  std::map<int, WorkerView> Published;
  std::map<int, int64_t> PublishedBy;
  /// Highest incarnation known, by incarnation and number of the observing host
  /// and id of the observed host.
  std::map<std::tuple<int64_t, int, HostId>, int64_t> Incarnations;
};

// Guards against hosts that disagree on the live hosts or the planner after
// faults, a leaving host that still gets work, a process that is replaced by an
// earlier one of the same host, and worker views that are lost.
RC_GTEST_PROP(MembershipFuzzTest, FlatClusterAgreesAfterFaults, ()) {
  FaultyCluster World(6, 2);
  World.run(absl::Seconds(5));
  for (int Steps = *rc::gen::inRange(1, 20); Steps > 0; --Steps) {
    World.applyRandomFault();
    World.run(absl::Milliseconds(500) * *rc::gen::inRange(0, 16));
  }
  World.finish();
  World.run(absl::Seconds(10));
  for (int I = 0; I < World.Cluster.size(); ++I)
    if (World.Cluster.isRunning(I)) {
      RC_ASSERT(!World.Cluster[I].isRelaying());
      World.checkOwnDataCentre(I);
      World.checkOtherDataCentres(I);
    }
}

// Guards against the same failures above the number of hosts where planners
// relay. The state of other data centres takes longer to arrive, since both
// sides must first have settled on a planner.
RC_GTEST_PROP(MembershipFuzzTest, RelayingClusterAgreesAfterFaults, ()) {
  FaultyCluster World(15, 3);
  World.run(absl::Seconds(5));
  for (int Steps = *rc::gen::inRange(1, 8); Steps > 0; --Steps) {
    World.applyRandomFault();
    World.run(absl::Milliseconds(500) * *rc::gen::inRange(0, 16));
  }
  World.finish();
  World.run(absl::Seconds(10));
  for (int I = 0; I < World.Cluster.size(); ++I)
    if (World.Cluster.isRunning(I))
      World.checkOwnDataCentre(I);
  World.run(absl::Seconds(20));
  for (int I = 0; I < World.Cluster.size(); ++I)
    if (World.Cluster.isRunning(I))
      World.checkOtherDataCentres(I);
}
