#include "daemon/WorkerMonitor.h"

#include "base/VirtualExecutor.h"
#include "endpoint/testing/FakeFleetClient.h"
#include "endpoint/testing/FakeWorkerFleet.h"
#include "store/HostDirectory.h"

#include <gtest/gtest.h>

using namespace vanillayard;

namespace {

class WorkerMonitorTest : public ::testing::Test {
protected:
  WorkerMonitorTest() : Fleet(this->Exec), Client(this->Exec, this->Fleet) {
    for (int I = 0; I < 3; ++I)
      this->Fleet.add(address(I), WorkerModel::Builder(this->Exec)
                                      .name(WorkerId(name(I)))
                                      .rack(RackId("r1")));
    this->Monitor = std::move(
        *WorkerMonitor::Builder(this->Exec, this->Client)
             .dataCentre(DataCentreId("dc1"))
             .owns([this](const WorkerId &Id) { return Id != this->NotOwned; })
             .onRemove([this](const WorkerId &) { ++this->RemovedCount; })
             .build());
  }

  static std::string name(int I) { return "w" + std::to_string(I); }
  static Endpoint address(int I) { return Endpoint(name(I) + ":1"); }

  HostList list(int Count, HostState State = HostState::Live) {
    HostList List;
    List.Generated = this->Exec.now();
    for (int I = 0; I < Count; ++I)
      List.Hosts.push_back({name(I), HostRole::Worker, DataCentreId("dc1"),
                            RackId("r1"), address(I), State});
    return List;
  }

  WorkerView view(int I) {
    for (const WorkerView &View : this->Monitor->allViews())
      if (View.Worker.str() == name(I))
        return View;
    return {};
  }

  VirtualExecutor Exec;
  FakeWorkerFleet Fleet;
  FakeFleetClient Client;
  WorkerId NotOwned;
  int RemovedCount = 0;
  std::unique_ptr<WorkerMonitor> Monitor;
};

} // namespace

// Guards against a listed worker whose slots never become known, so that it
// gets no work.
TEST_F(WorkerMonitorTest, PollsSetTheSlotsOfListedWorkers) {
  this->Monitor->applyHostList(this->list(3));
  this->Exec.advance(absl::Seconds(2));
  EXPECT_EQ(this->view(1).TotalSlots, 8);
  EXPECT_EQ(this->Monitor->ownedViews().size(), 3u);
}

// Guards against sending new work to a leaving worker that the host list still
// shows as live (G6): the worker's own status must suffice.
TEST_F(WorkerMonitorTest, StatusMarksAWorkerDrainingBeforeTheList) {
  this->Monitor->applyHostList(this->list(3));
  this->Exec.advance(absl::Seconds(2));
  this->Fleet.model(address(0)).setDraining(true);
  this->Exec.advance(absl::Seconds(3));
  EXPECT_TRUE(this->view(0).Draining);
  EXPECT_FALSE(this->view(1).Draining);
}

// Guards against an older host list that arrives late and makes a leaving
// worker live again.
TEST_F(WorkerMonitorTest, ListMarksALeavingWorkerAndAnOlderListIsIgnored) {
  HostList Old = this->list(3);
  this->Exec.advance(absl::Seconds(1));
  this->Monitor->applyHostList(this->list(3, HostState::Leaving));
  this->Monitor->applyHostList(Old);
  EXPECT_TRUE(this->view(0).Draining);
}

// Guards against flapping: a worker that changes between reachable and
// unreachable with each poll.
TEST_F(WorkerMonitorTest, UnreachableWorkerReturnsWithHysteresis) {
  this->Monitor->applyHostList(this->list(3));
  this->Exec.advance(absl::Seconds(2));
  this->Fleet.kill(address(0));
  this->Exec.advance(absl::Seconds(5));
  EXPECT_TRUE(this->view(0).Ejected);
  EXPECT_EQ(this->Monitor->unreachableCount(), 1u);
  this->Fleet.restart(address(0));
  this->Exec.advance(absl::Milliseconds(800));
  EXPECT_TRUE(this->view(0).Ejected);
  this->Exec.advance(absl::Seconds(3));
  EXPECT_FALSE(this->view(0).Ejected);
}

// Guards against removing a worker because one host list did not contain it.
TEST_F(WorkerMonitorTest, RemovesAWorkerOnlyAfterSeveralListsWithoutIt) {
  this->Monitor->applyHostList(this->list(3));
  for (int I = 0; I < 2; ++I)
    this->Monitor->applyHostList(this->list(2));
  EXPECT_EQ(this->RemovedCount, 0);
  this->Monitor->applyHostList(this->list(2));
  EXPECT_EQ(this->RemovedCount, 1);
}

// Guards against ignoring the owner's view of a worker, and against a peer's
// view that overwrites the state of a worker owned by this host.
TEST_F(WorkerMonitorTest, AppliesPeerViewsOnlyOfWorkersOwnedByOthers) {
  this->NotOwned = WorkerId("w0");
  this->Monitor->applyHostList(this->list(3));
  WorkerView Peer = this->view(0);
  Peer.TotalSlots = 8;
  Peer.FreeSlots = 5;
  this->Monitor->applyPeerView(Peer);
  EXPECT_EQ(this->view(0).FreeSlots, 5);
  Peer.Worker = WorkerId("w1");
  this->Monitor->applyPeerView(Peer);
  EXPECT_EQ(this->view(1).FreeSlots, 0);
}

// Guards against polling that exceeds its byte budget as workers are added.
TEST_F(WorkerMonitorTest, PollsWithinTheByteBudget) {
  constexpr int WorkerCount = 153;
  constexpr int Seconds = 100;
  HostList List = this->list(0);
  for (int I = 0; I < WorkerCount; ++I) {
    std::string Name = "x" + std::to_string(I);
    Endpoint Address(Name + ":1");
    this->Fleet.add(Address, WorkerModel::Builder(this->Exec)
                                 .name(WorkerId(Name))
                                 .rack(RackId("r")));
    List.Hosts.push_back({Name, HostRole::Worker, DataCentreId("dc1"),
                          RackId("r"), Address, HostState::Live});
  }
  int Polls = 0;
  auto CountingMonitor = WorkerMonitor::Builder(this->Exec, this->Client)
                             .dataCentre(DataCentreId("dc1"))
                             .bytesPerSecond(2048)
                             .onChange([&](const WorkerView &) { ++Polls; })
                             .build();
  (*CountingMonitor)->applyHostList(List);
  this->Exec.advance(absl::Seconds(Seconds));
  EXPECT_GE(Polls, WorkerCount);
  // The first poll of each worker is due immediately and is not counted against
  // the budget.
  EXPECT_LE((Polls - WorkerCount) * WorkerMonitor::BytesPerPoll,
            2048 * (Seconds + 1));
}
