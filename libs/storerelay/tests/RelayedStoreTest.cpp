#include "storerelay/RelayedStore.h"

#include "FakePeers.h"
#include "FaultInjectingStore.h"
#include "base/VirtualExecutor.h"
#include "control/LeaderRole.h"
#include "control/LeaderRoleListener.h"
#include "control/testing/FakeCoordinationStore.h"
#include "control/testing/VirtualBootClock.h"
#include "observe/Log.h"
#include "storerelay/StoreRouter.h"

#include <gtest/gtest.h>

using namespace vanillayard;

namespace {

class CountingListener final : public LeaderRoleListener {
public:
  int Gained = 0;
  int Lost = 0;
  void roleGained(int64_t) override { ++this->Gained; }
  void roleReclaimed(int64_t) override {}
  void roleLost() override { ++this->Lost; }
};

class RelayedStoreTest : public testing::Test {
protected:
  RelayedStoreTest()
      : Events(this->Exec, [](std::string_view) {}), Platform(this->Exec),
        Direct(this->Exec, this->Platform),
        Store(this->Exec, this->Direct, this->Peers, this->Events) {}

  std::shared_ptr<FaultInjectingStore> addPeer() {
    auto Peer =
        std::make_shared<FaultInjectingStore>(this->Exec, this->Platform);
    this->Peers.Stores.push_back(Peer);
    return Peer;
  }

  absl::StatusOr<StoreCommit> put(const std::string &Key) {
    absl::StatusOr<StoreCommit> Answer = absl::UnknownError("no answer");
    StoreTransaction Write;
    Write.Conditions.push_back({Key, 0});
    Write.Puts.push_back({Key, "value", 0});
    this->Store.commit(std::move(Write), [&](absl::StatusOr<StoreCommit> R) {
      Answer = std::move(R);
    });
    this->Exec.advance(absl::Seconds(2));
    return Answer;
  }

  VirtualExecutor Exec;
  Log Events;
  FakeCoordinationStore Platform;
  FaultInjectingStore Direct;
  FakePeers Peers;
  RelayedStore Store;
};

} // namespace

// Guards against refusing submissions while the store serves other hosts.
TEST_F(RelayedStoreTest, RefusedCallGoesThroughAPeer) {
  this->addPeer();
  this->Direct.Failure = ErrorKind::PlatformUnavailable;
  absl::StatusOr<StoreCommit> Answer = this->put("k");
  ASSERT_TRUE(Answer.ok());
  EXPECT_TRUE(Answer->IsApplied);
  EXPECT_TRUE(this->Platform.has("k"));
}

// Guards against failing a call after one peer although the store serves
// another one.
TEST_F(RelayedStoreTest, RefusingPeerIsFollowedByNextPeer) {
  this->addPeer()->Failure = ErrorKind::PlatformUnavailable;
  this->addPeer();
  this->Direct.Failure = ErrorKind::PlatformUnavailable;
  EXPECT_TRUE(this->put("k").ok());
}

// Guards against asking peers without end when the list of peers becomes
// shorter than the number of those already asked.
TEST_F(RelayedStoreTest, ShorterListOfPeersEndsTheSearch) {
  std::vector<std::shared_ptr<FaultInjectingStore>> All;
  for (int I = 0; I < 3; ++I) {
    All.push_back(this->addPeer());
    All.back()->Failure = ErrorKind::PlatformUnavailable;
  }
  this->Direct.Failure = ErrorKind::PlatformUnavailable;
  int Demotions = 0;
  this->Peers.OnDemoted = [&] {
    if (++Demotions == 2)
      this->Peers.Stores.resize(1);
    // Ends the test if the search does not end.
    if (Demotions == 100)
      this->Peers.Stores.clear();
  };
  absl::Status Status = absl::OkStatus();
  this->Store.get("k", [&](absl::StatusOr<std::optional<StoreItem>> Answer) {
    Status = Answer.status();
  });
  this->Exec.advance(absl::Seconds(1));
  EXPECT_EQ(errorKindOf(Status), ErrorKind::PlatformUnavailable);
  EXPECT_LE(Demotions, 3);
}

// Guards against a configuration that comes into force seconds late: both
// watches of a host are cut at once, so they are made again through a peer,
// which cannot be reached, while the store serves the host all the time.
TEST_F(RelayedStoreTest, ReadThroughASilentPeerIsMadeAgainDirectly) {
  std::shared_ptr<FaultInjectingStore> Peer = this->addPeer();
  Peer->IsSilent = true;
  this->Direct.Failure = ErrorKind::OutcomeUnknown;
  for (int I = 0; I < 2; ++I)
    this->Store.get("k", [](absl::StatusOr<std::optional<StoreItem>>) {});
  this->Exec.advance(absl::Milliseconds(1));
  this->Direct.Failure.reset();
  int Answers = 0;
  this->Store.awaitChanges("k", 0, absl::Seconds(2),
                           [&](absl::StatusOr<StoreChanges> Changes) {
                             EXPECT_TRUE(Changes.ok());
                             ++Answers;
                           });
  this->Exec.advance(absl::Milliseconds(100));
  EXPECT_GT(Peer->Calls, 0);
  EXPECT_EQ(Answers, 0);
  this->Platform.put("k", "new");
  this->Exec.advance(absl::Milliseconds(100));
  EXPECT_EQ(Answers, 1);
  this->Exec.advance(absl::Seconds(10));
  EXPECT_EQ(Answers, 1);
}

// Guards against applying a write twice: an unanswered write may still take
// effect.
TEST_F(RelayedStoreTest, CallWithoutAnswerIsNotRepeated) {
  std::shared_ptr<FaultInjectingStore> Peer = this->addPeer();
  this->Direct.Failure = ErrorKind::OutcomeUnknown;
  absl::StatusOr<StoreCommit> Answer = this->put("k");
  EXPECT_EQ(errorKindOf(Answer.status()), ErrorKind::OutcomeUnknown);
  EXPECT_EQ(Peer->Calls, 0);
}

// Guards against hosts that flood each other with calls while the store is
// down.
TEST_F(RelayedStoreTest, OutageFailsCallsAtOnceAndStartsPeerBackoff) {
  std::shared_ptr<FaultInjectingStore> Peer = this->addPeer();
  Peer->Failure = ErrorKind::PlatformUnavailable;
  this->Direct.Failure = ErrorKind::PlatformUnavailable;
  int Answers = 0;
  for (int I = 0; I < 50; ++I)
    this->Store.get("k", [&](absl::StatusOr<std::optional<StoreItem>> R) {
      EXPECT_EQ(errorKindOf(R.status()), ErrorKind::PlatformUnavailable);
      ++Answers;
    });
  this->Exec.advance(absl::Milliseconds(1));
  EXPECT_EQ(Answers, 50);
  int Before = Peer->Calls;
  for (int I = 0; I < 50; ++I) {
    this->Store.get("k", [](absl::StatusOr<std::optional<StoreItem>>) {});
    this->Exec.advance(absl::Milliseconds(10));
  }
  EXPECT_EQ(Peer->Calls, Before);
}

// Guards against submissions that wait for a timeout and end with an unknown
// outcome although the host knows that the store answers no host.
TEST_F(RelayedStoreTest, UnresponsiveStoreFailsCallsAtOnce) {
  std::shared_ptr<FaultInjectingStore> Peer = this->addPeer();
  Peer->Failure = ErrorKind::OutcomeUnknown;
  this->Direct.Failure = ErrorKind::OutcomeUnknown;
  // Two unanswered direct calls mark the store as unresponsive, two more calls
  // start the peer backoff.
  for (int I = 0; I < 4; ++I) {
    this->Store.get("k", [](absl::StatusOr<std::optional<StoreItem>>) {});
    this->Exec.advance(absl::Milliseconds(1));
  }
  int Before = Peer->Calls;
  absl::Status Status = absl::OkStatus();
  this->Store.get("k", [&](absl::StatusOr<std::optional<StoreItem>> Answer) {
    Status = Answer.status();
  });
  this->Exec.advance(absl::Milliseconds(1));
  EXPECT_EQ(errorKindOf(Status), ErrorKind::PlatformUnavailable);
  EXPECT_EQ(Peer->Calls, Before);
  this->Direct.Failure.reset();
  this->Exec.advance(StoreRouter::ProbeInterval);
  this->Store.get("k", [](absl::StatusOr<std::optional<StoreItem>>) {});
  this->Exec.advance(absl::Milliseconds(100));
  EXPECT_TRUE(this->put("k").ok());
}

// Guards against calling through peers after the store serves this host again.
TEST_F(RelayedStoreTest, DirectRouteIsUsedAgain) {
  std::shared_ptr<FaultInjectingStore> Peer = this->addPeer();
  this->Direct.Failure = ErrorKind::PlatformUnavailable;
  ASSERT_TRUE(this->put("a").ok());
  this->Direct.Failure.reset();
  ASSERT_TRUE(this->put("b").ok());
  int Before = Peer->Calls;
  ASSERT_TRUE(this->put("c").ok());
  EXPECT_EQ(Peer->Calls, Before);
}

// Guards against a change of leader whenever the store refuses the leader's
// calls. A change is costly, because the new leader first waits for all
// workers.
TEST_F(RelayedStoreTest, LeaderKeepsItsRole) {
  this->addPeer();
  VirtualBootClock Clock(this->Exec);
  CountingListener Listener;
  std::unique_ptr<LeaderRole> Role =
      LeaderRole::Builder(this->Exec, this->Store, Clock, this->Events)
          .host(HostId("h1"))
          .listener(Listener)
          .build();
  Role->start();
  this->Exec.advance(absl::Seconds(1));
  ASSERT_TRUE(Role->isConfirmed());
  this->Direct.Failure = ErrorKind::PlatformUnavailable;
  for (int I = 0; I < 100; ++I) {
    this->Exec.advance(absl::Milliseconds(100));
    ASSERT_TRUE(Role->isConfirmed());
  }
  EXPECT_EQ(Listener.Gained, 1);
  EXPECT_EQ(Listener.Lost, 0);
}
