#include "base/ErrorKind.h"
#include "peer/MembershipListener.h"
#include "peer/testing/PeerCluster.h"
#include "wire/WireCodec.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace vanillayard;

/// Records events and runs a callback, if one is set, for each message.
class RecordingListener final : public MembershipListener {
public:
  void hostChanged(const PeerHost &Host) override {
    this->Deaths += Host.State == PeerState::Dead;
  }
  void plannerChanged(bool IsPlanner) override {
    this->PlannerChanges.push_back(IsPlanner);
  }
  void newerGenerationSeen(const HostId &At, int64_t Generation) override {
    this->Generations[At] = Generation;
  }
  void warningsChanged(const HostId &At,
                       const std::vector<std::string> &Names) override {
    this->Warnings[At] = Names;
  }
  void messageReceived(const Envelope &Message) override {
    this->Messages.push_back(Message);
    if (this->OnMessage)
      this->OnMessage(Message);
  }

  int Deaths = 0;
  std::vector<bool> PlannerChanges;
  std::map<HostId, int64_t> Generations;
  std::map<HostId, std::vector<std::string>> Warnings;
  std::vector<Envelope> Messages;
  std::function<void(const Envelope &)> OnMessage;
};

/// Tests with three hosts of one data centre that know each other.
class MembershipTest : public testing::Test {
protected:
  void SetUp() override {
    this->Cluster.startAll();
    for (int I = 0; I < 3; ++I)
      this->Cluster[I].addListener(&this->Listeners[I]);
    this->Cluster.Exec.advance(absl::Seconds(5));
  }
  void request(int From, int To, PeerMessage Message) {
    this->Cluster[From].request(
        this->Cluster.id(To), std::move(Message), absl::Seconds(2),
        [this](auto Result) { this->Results.push_back(std::move(Result)); });
  }
  int planner() {
    for (int I = 0; I < 3; ++I)
      if (this->Cluster.isRunning(I) && this->Cluster[I].isPlanner())
        return I;
    return -1;
  }
  const DataCentreId &centre() { return this->Cluster.dataCentre(0); }

  RecordingListener Listeners[3];
  PeerCluster Cluster{3, 1};
  std::vector<absl::StatusOr<Envelope>> Results;
};

// Guards against a reply that does not reach the callback, and against one that
// runs inside request().
TEST_F(MembershipTest, RequestGetsTheReplyOfTheHostAsked) {
  this->Listeners[1].OnMessage = [&](const Envelope &Message) {
    EXPECT_TRUE(this->Cluster[1].reply(Message, ForwardReply{"done"}).ok());
  };
  this->request(0, 1, ForwardRequest());
  EXPECT_TRUE(this->Results.empty());
  this->Cluster.Exec.advance(absl::Milliseconds(10));
  ASSERT_EQ(this->Results.size(), 1u);
  ASSERT_TRUE(this->Results[0].ok());
  EXPECT_EQ(std::get<ForwardReply>(this->Results[0]->Message),
            ForwardReply{"done"});
}

// Guards against a reply that completes the wrong request: one from another
// host or of another type is dropped, and so is a repeated one.
TEST_F(MembershipTest, CrossedAndRepeatedRepliesAreDropped) {
  this->Listeners[1].OnMessage = [&](const Envelope &Message) {
    Envelope Other = Message;
    Other.Sender = this->Cluster.id(0);
    EXPECT_TRUE(this->Cluster[2].reply(Other, JobReply{JobId("x"), ""}).ok());
    EXPECT_TRUE(this->Cluster[1].reply(Message, ForwardReply{"x"}).ok());
    this->Cluster.Exec.runAfter(absl::Milliseconds(100), [&, Message] {
      for (int I = 0; I < 2; ++I)
        (void)this->Cluster[1].reply(Message, JobReply{JobId("j"), "r"});
    });
  };
  this->request(0, 1, JobQuery{JobId("j")});
  this->Cluster.Exec.advance(absl::Milliseconds(50));
  EXPECT_TRUE(this->Results.empty());
  this->Cluster.Exec.advance(absl::Seconds(5));
  ASSERT_EQ(this->Results.size(), 1u);
  ASSERT_TRUE(this->Results[0].ok());
  EXPECT_EQ(this->Results[0]->Message, PeerMessage(JobReply{JobId("j"), "r"}));
}

// Guards against a caller that is told "not run" although the request was sent
// and may have run.
TEST_F(MembershipTest, FailedRequestsSayWhetherTheyMayHaveRun) {
  struct Row {
    const char *Name;
    std::function<void()> Fault;
    HostId To;
    ErrorKind Expected;
  };
  HostId Peer = this->Cluster.id(1);
  Endpoint From = this->Cluster.address(0);
  Endpoint To = this->Cluster.address(1);
  std::vector<Row> Table = {
      {"unknown host", [] {}, HostId("nobody"), ErrorKind::NoCapacity},
      {"no reply", [] {}, Peer, ErrorKind::OutcomeUnknown},
      {"lost", [&] { this->Cluster.Network.cut(From, To); }, Peer,
       ErrorKind::OutcomeUnknown},
      {"restart", [&] { this->Cluster.start(1); }, Peer, ErrorKind::NoCapacity},
  };
  for (const Row &R : Table) {
    this->Results.clear();
    R.Fault();
    this->Cluster[0].request(
        R.To, ForwardRequest(), absl::Seconds(2),
        [this](auto Result) { this->Results.push_back(std::move(Result)); });
    EXPECT_TRUE(this->Results.empty()) << R.Name;
    this->Cluster.Exec.advance(absl::Seconds(3));
    ASSERT_EQ(this->Results.size(), 1u) << R.Name;
    EXPECT_EQ(errorKindOf(this->Results[0].status()), R.Expected) << R.Name;
    this->Cluster.Network.healAll();
  }
}

// Guards against a request that waits for its full timeout after the host to
// which it was sent has restarted.
TEST_F(MembershipTest, RequestEndsWhenTheHostStartsAgain) {
  this->Cluster[0].request(
      this->Cluster.id(1), JobQuery(), absl::Minutes(5),
      [this](auto Result) { this->Results.push_back(std::move(Result)); });
  this->Cluster.Exec.advance(absl::Milliseconds(10));
  this->Cluster.start(1);
  this->Cluster.Exec.advance(absl::Seconds(3));
  ASSERT_EQ(this->Results.size(), 1u);
  EXPECT_EQ(errorKindOf(this->Results[0].status()), ErrorKind::OutcomeUnknown);
}

// Guards against a successor that becomes planner too late to renew leases of
// 10 s, and against one that does so during a short loss of contact.
TEST_F(MembershipTest, TheRoleMovesOnlyWhenThePlannerIsDead) {
  int First = this->planner();
  ASSERT_GE(First, 0);
  this->Cluster.Network.freeze(this->Cluster.address(First));
  this->Cluster.Exec.advance(absl::Seconds(4));
  this->Cluster.Network.thaw(this->Cluster.address(First));
  this->Cluster.Exec.advance(absl::Seconds(10));
  for (int I = 0; I < 3; ++I)
    EXPECT_EQ(this->Listeners[I].PlannerChanges.size(), I == First ? 1u : 0u);
  this->Cluster.crash(First);
  this->Cluster.Exec.advance(absl::Seconds(9));
  EXPECT_GE(this->planner(), 0);
}

// Guards against a process that is paused until another host has become planner
// and still acts as the planner when it resumes.
TEST_F(MembershipTest, APausedPlannerLosesTheRole) {
  int First = this->planner();
  this->Cluster.freeze(First);
  this->Cluster.Exec.advance(absl::Seconds(9));
  EXPECT_FALSE(this->Cluster[First].isPlanner());
  int Second = -1;
  for (int I = 0; I < 3; ++I)
    if (I != First && this->Cluster[I].isPlanner())
      Second = I;
  ASSERT_GE(Second, 0);
  this->Cluster.thaw(First);
  this->Cluster.Exec.advance(absl::Milliseconds(10));
  EXPECT_FALSE(this->Cluster[First].isPlanner());
  // The resumed process does not count its own pause as silence of the others.
  EXPECT_EQ(this->Listeners[First].Deaths, 0);
  EXPECT_EQ(this->Cluster[First].liveHosts(this->centre()).size(), 3u);
}

// Found by the flat fuzz test with seed 1: a peer that does not know yet that a
// host has restarted acknowledges the views of its earlier process, and the new
// process takes its own views for acknowledged.
TEST_F(MembershipTest, AnAcknowledgementCountsForOneProcessOnly) {
  WorkerView View;
  View.Worker = WorkerId("w");
  View.Address = Endpoint("10.1.0.1:80");
  View.FreeSlots = 1;
  this->Cluster[1].publishWorker(View);
  this->Cluster.Exec.advance(absl::Milliseconds(1100));
  this->Cluster.Network.cut(this->Cluster.address(1), this->Cluster.address(0));
  this->Cluster.start(1);
  View.FreeSlots = 2;
  this->Cluster[1].publishWorker(View);
  this->Cluster.Exec.advance(absl::Seconds(4));
  this->Cluster.Network.healAll();
  this->Cluster.Exec.advance(absl::Seconds(10));
  std::vector<WorkerView> Seen = this->Cluster[0].workers();
  ASSERT_EQ(Seen.size(), 1u);
  EXPECT_EQ(Seen[0].FreeSlots, 2);
}

// Guards against a new configuration that waits for the next regular heartbeat:
// it must reach all hosts within 3 s.
TEST_F(MembershipTest, AHigherGenerationIsSentAtOnce) {
  this->Cluster[0].setGeneration(7);
  this->Cluster[0].setWarnings({"store_unavailable"});
  this->Cluster.Exec.advance(absl::Milliseconds(110));
  for (int I : {1, 2})
    EXPECT_EQ(this->Listeners[I].Generations[this->Cluster.id(0)], 7);
  EXPECT_EQ(this->Listeners[1].Warnings[this->Cluster.id(0)],
            std::vector<std::string>{"store_unavailable"});
}

// Guards against workers that no host polls, or that two hosts poll.
TEST_F(MembershipTest, EachWorkerHasOnePollingHostAndOnlyThoseOfADeadHostMove) {
  std::map<int, HostId> PollingHosts;
  for (int W = 0; W < 50; ++W) {
    WorkerId Worker(std::to_string(W));
    int Count = 0;
    for (int I = 0; I < 3; ++I)
      Count += this->Cluster[I].isPollingHost(Worker);
    EXPECT_EQ(Count, 1);
    PollingHosts[W] = *this->Cluster[0].pollingHost(Worker);
  }
  this->Cluster.crash(1);
  this->Cluster.Exec.advance(absl::Seconds(7));
  for (int W = 0; W < 50; ++W)
    if (PollingHosts[W] != this->Cluster.id(1)) {
      EXPECT_EQ(this->Cluster[0].pollingHost(WorkerId(std::to_string(W))),
                PollingHosts[W]);
    }
}

// Guards against a request that is forwarded again to a host that has failed
// it, and against all requests going to one host while another has a shorter
// queue.
TEST(MembershipForwardTest, PrefersTheShorterQueueAndLeavesOutTriedHosts) {
  PeerCluster Cluster(6, 2);
  Cluster.startAll();
  Cluster.Exec.advance(absl::Seconds(3));
  const DataCentreId &Other = Cluster.dataCentre(1);
  std::set<HostId> Tried;
  for (int I = 0; I < 3; ++I) {
    auto Target = Cluster[0].chooseForwardTarget(Other, Tried);
    ASSERT_TRUE(Target.has_value());
    EXPECT_TRUE(Tried.insert(*Target).second);
  }
  EXPECT_EQ(Cluster[0].chooseForwardTarget(Other, Tried), std::nullopt);
  HostId First = *Cluster[0].chooseForwardTarget(Other);
  for (int I : {1, 3, 5})
    if (Cluster.id(I) == First) {
      LoadSummary Load;
      Load.QueuedNormal = 100;
      Cluster[I].setLoad(Load);
    }
  Cluster.Exec.advance(absl::Seconds(2));
  EXPECT_NE(*Cluster[0].chooseForwardTarget(Other), First);
  EXPECT_EQ(Cluster[0].loadOf(Other).QueuedNormal, 100);
}

// Guards against heartbeats that exceed 2 KB/s per host, sent and received
// together, with 9 hosts and all of about 50 workers changing.
TEST(MembershipTrafficTest, NineHostsStayWithinTheTrafficBudget) {
  constexpr int Hosts = 9;
  constexpr int Seconds = 120;
  constexpr uint64_t BudgetBytesPerSecond = 2048;
  PeerCluster Cluster(Hosts, 4);
  Cluster.startAll();
  Cluster.Exec.advance(absl::Seconds(30));
  std::vector<uint64_t> Before(Hosts);
  auto Bytes = [&](int I) {
    const PeerTraffic &T = Cluster[I].traffic();
    return T.HeartbeatBytesSent + T.HeartbeatBytesReceived;
  };
  for (int I = 0; I < Hosts; ++I)
    Before[I] = Bytes(I);
  for (int Second = 0; Second < Seconds; ++Second) {
    for (int I = 0; I < Hosts; ++I) {
      Cluster[I].setLoad({Second, Second, 5000 + Second, 40, 48, 20,
                          absl::Milliseconds(Second), 16});
      for (int W = 0; W < 6; ++W) {
        WorkerView View;
        View.Worker = WorkerId("dc1-rack1-worker" + std::to_string(W * 9 + I));
        View.Address = Endpoint("10.101.102.103:8080");
        View.Rack = RackId("dc1-rack1");
        View.TotalSlots = View.Accelerators = 8;
        View.FreeSlots = Second % 8;
        Cluster[I].publishWorker(View);
      }
    }
    Cluster.Exec.advance(absl::Seconds(1));
  }
  for (int I = 0; I < Hosts; ++I)
    EXPECT_LE((Bytes(I) - Before[I]) / Seconds, BudgetBytesPerSecond) << I;
}

// Guards against hosts that do not discover each other while the platform's
// host list is unavailable: the seeds suffice.
TEST(MembershipDiscoveryTest, HostsDiscoverEachOtherThroughTheSeedsAlone) {
  PeerCluster Cluster(6, 2);
  Cluster.Directory.setDown(true);
  Cluster.startAll();
  Cluster.Exec.advance(absl::Seconds(5));
  for (int I = 0; I < 6; ++I)
    EXPECT_EQ(Cluster[I].hosts().size(), 5u) << I;
}
