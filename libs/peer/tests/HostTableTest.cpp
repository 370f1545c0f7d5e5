#include "HostTable.h"

#include "PlannerElection.h"
#include "ViewExchange.h"

#include <gtest/gtest.h>

using namespace vanillayard;

static const DataCentreId Centre("dc1");
static const absl::Time Start = absl::FromUnixSeconds(1000);

static HostDigest host(const std::string &Name, int64_t Incarnation) {
  return {HostId(Name), Incarnation, Endpoint(Name + ":1"), false};
}

// Guards against a state that changes at the wrong time, and against a dead
// host that stays dead although it is heard again.
TEST(HostTableTest, SilenceMakesAHostSuspectAndThenDead) {
  HostTable Hosts(HostId("self"), HostTimeouts());
  Hosts.observeDirect(Centre, host("a", 1), Start);
  struct Row {
    int Milliseconds;
    PeerState State;
  };
  for (const Row &R :
       {Row{0, PeerState::Live}, Row{2999, PeerState::Live},
        Row{3000, PeerState::Suspect}, Row{5999, PeerState::Suspect},
        Row{6000, PeerState::Dead}}) {
    Hosts.update(Start + absl::Milliseconds(R.Milliseconds));
    EXPECT_EQ(Hosts.find(HostId("a"))->State, R.State) << R.Milliseconds;
  }
  Hosts.observeDirect(Centre, host("a", 1), Start + absl::Seconds(9));
  Hosts.update(Start + absl::Seconds(9));
  EXPECT_EQ(Hosts.find(HostId("a"))->State, PeerState::Live);
}

// Guards against a delayed message of an earlier process that replaces a newer
// one, and against one that makes a leaving process live again.
TEST(HostTableTest, OldIncarnationsAreStaleAndLeavingIsFinal) {
  HostTable Hosts(HostId("self"), HostTimeouts());
  using Observation = HostTable::Observation;
  HostDigest Left = host("a", 5);
  Left.Leaving = true;
  EXPECT_EQ(Hosts.observeDirect(Centre, Left, Start), Observation::Started);
  EXPECT_EQ(Hosts.observeDirect(Centre, host("a", 5), Start),
            Observation::Known);
  Hosts.update(Start);
  EXPECT_EQ(Hosts.find(HostId("a"))->State, PeerState::Leaving);
  EXPECT_TRUE(Hosts.usable(Centre).empty());
  EXPECT_EQ(Hosts.observeDirect(Centre, host("a", 6), Start),
            Observation::Started);
  EXPECT_EQ(Hosts.observeDirect(Centre, Left, Start), Observation::Stale);
  EXPECT_EQ(Hosts.observeDirect(Centre, host("self", 9), Start),
            Observation::Stale);
  Hosts.update(Start);
  EXPECT_EQ(Hosts.usable(Centre).size(), 1u);
}

// Found by the relaying fuzz test with seed 3: a host known only from a relay
// was removed as soon as the relay no longer listed it, and a message of an
// earlier process then made it a new host.
TEST(HostTableTest, RemembersTheIncarnationOfAHostThatARelayNoLongerLists) {
  HostTable Hosts(HostId("self"), HostTimeouts());
  Hosts.observeRelayed(Centre, HostId("relay"), {host("a", 7)}, Start);
  Hosts.observeRelayed(Centre, HostId("relay"), {}, Start);
  Hosts.update(Start + absl::Minutes(9));
  EXPECT_EQ(Hosts.find(HostId("a"))->State, PeerState::Dead);
  EXPECT_EQ(Hosts.observeDirect(Centre, host("a", 6), Start),
            HostTable::Observation::Stale);
  Hosts.update(Start + absl::Minutes(10));
  EXPECT_EQ(Hosts.find(HostId("a")), nullptr);
}

// Guards against a planner role that moves on every short loss of contact, or
// to a host that has just started and does not know the others yet.
TEST(PlannerElectionTest, SettlesBeforeTheRoleMoves) {
  HostId First = *plannerAmong(Centre, {HostId("a"), HostId("b")});
  HostId Second(First == HostId("a") ? "b" : "a");
  PlannerElection Election(Centre);
  std::vector<HostId> Both = {HostId("a"), HostId("b")};
  auto At = [](int Ms) { return Start + absl::Milliseconds(Ms); };
  Election.update({Second}, false, At(0));
  EXPECT_EQ(Election.planner(), std::nullopt);
  Election.update({Second}, false, At(3000));
  EXPECT_EQ(Election.planner(), Second);
  Election.update(Both, false, At(4000));
  Election.update({Second}, false, At(5000));
  Election.update(Both, false, At(6000));
  Election.update(Both, false, At(8999));
  EXPECT_EQ(Election.planner(), Second);
  Election.update(Both, false, At(9000));
  EXPECT_EQ(Election.planner(), First);
  // The planner is dead.
  Election.update({Second}, false, At(20000));
  EXPECT_EQ(Election.planner(), std::nullopt);
  Election.update({Second}, false, At(21000));
  EXPECT_EQ(Election.planner(), Second);
  Election.update(Both, false, At(30000));
  Election.update(Both, false, At(33000));
  // The planner leaves.
  Election.update({Second}, true, At(40000));
  EXPECT_EQ(Election.planner(), Second);
}

// Guards against a view that is lost with a heartbeat, and against full views
// where brief ones would do.
TEST(ViewExchangeTest, ResendsWhatIsNotAcknowledgedAndIsBriefOtherwise) {
  ViewExchange Sender;
  ViewExchange Receiver;
  HostId Peer("peer");
  WorkerView View;
  View.Worker = WorkerId("w");
  View.Address = Endpoint("w:1");
  View.TotalSlots = 8;
  Sender.publish(View);
  (void)Sender.nextBatch(Peer, Start); // This heartbeat is lost.
  View.FreeSlots = 1;
  Sender.publish(View);
  auto Second = Sender.nextBatch(Peer, Start + absl::Seconds(1));
  EXPECT_TRUE(Sender.nextBatch(Peer, Start + absl::Seconds(2)).Views.empty());
  // The receiver uses the view, but does not acknowledge it, since an earlier
  // version is missing.
  EXPECT_EQ(Receiver.received(Peer, Second).size(), 1u);
  EXPECT_EQ(Receiver.takeAcknowledgement(Peer), 0);
  auto Third = Sender.nextBatch(Peer, Start + absl::Seconds(3));
  ASSERT_EQ(Third.Views.size(), 1u);
  EXPECT_FALSE(Third.Views[0].Brief);
  EXPECT_TRUE(Receiver.received(Peer, Third).empty());
  int64_t Acknowledged = Receiver.takeAcknowledgement(Peer);
  EXPECT_EQ(Acknowledged, Third.Views[0].Version);
  EXPECT_EQ(Receiver.takeAcknowledgement(Peer), 0);
  Sender.acknowledged(Peer, Acknowledged);
  View.FreeSlots = 2;
  Sender.publish(View);
  auto Fourth = Sender.nextBatch(Peer, Start + absl::Seconds(4));
  ASSERT_EQ(Fourth.Views.size(), 1u);
  EXPECT_TRUE(Fourth.Views[0].Brief);
  auto Got = Receiver.received(Peer, Fourth);
  ASSERT_EQ(Got.size(), 1u);
  View.Version = Fourth.Views[0].Version;
  EXPECT_EQ(Got[0], View);
}
