#include "storerelay/StoreRelay.h"

#include "FaultInjectingStore.h"
#include "control/RecordKeys.h"
#include "control/testing/FakeCoordinationStore.h"
#include "net/LoopExecutor.h"
#include "observe/Log.h"

#include <gtest/gtest.h>

using namespace vanillayard;

namespace {

/// Time after which waitUntil() fails the test.
constexpr absl::Duration WaitLimit = absl::Seconds(20);

/// Two hosts that are connected by real sockets. The store refuses the calls of
/// the first one.
class StoreRelayTest : public testing::Test {
protected:
  StoreRelayTest()
      : Events(this->Loop, [](std::string_view) {}), Platform(this->Loop),
        FirstDirect(this->Loop, this->Platform),
        First(this->Loop, this->FirstDirect, HostId("h1"), this->Events),
        Second(std::make_unique<StoreRelay>(this->Loop, this->Platform,
                                            HostId("h2"), this->Events)) {}

  void SetUp() override {
    ASSERT_TRUE(this->Second->start(Endpoint("127.0.0.1:0")).ok());
    ASSERT_TRUE(this->First.start(Endpoint("127.0.0.1:0")).ok());
    this->waitUntil(
        [this] { return this->Platform.countWithPrefix("vy/host/") == 2; });
    // The first read of the host list takes place 2 s after the start.
    this->runFor(absl::Milliseconds(2500));
    this->FirstDirect.Failure = ErrorKind::PlatformUnavailable;
  }

  void runFor(absl::Duration Time) {
    this->Loop.runAfter(Time, [this] { this->Loop.stop(); });
    this->Loop.run();
  }

  template <typename Condition> void waitUntil(Condition Holds) {
    absl::Time GiveUpAt = this->Loop.now() + WaitLimit;
    while (!Holds() && this->Loop.now() < GiveUpAt)
      this->runFor(absl::Milliseconds(10));
    ASSERT_TRUE(Holds());
  }

  LoopExecutor Loop;
  Log Events;
  FakeCoordinationStore Platform;
  FaultInjectingStore FirstDirect;
  StoreRelay First;
  std::unique_ptr<StoreRelay> Second;
};

} // namespace

// Guards against an operation whose result changes when a peer relays it.
TEST_F(StoreRelayTest, EveryOperationWorksThroughAPeer) {
  CoordinationStore &Store = this->First.store();
  int64_t Lease = 0;
  Store.grantLease(absl::Seconds(30), [&](absl::StatusOr<int64_t> Result) {
    ASSERT_TRUE(Result.ok()) << Result.status();
    Lease = *Result;
  });
  this->waitUntil([&] { return Lease != 0; });

  std::optional<StoreCommit> Applied;
  StoreTransaction Write;
  Write.Conditions.push_back({"x/a", 0});
  Write.Puts.push_back({"x/a", std::string("\0one", 4), Lease});
  Store.commit(Write, [&](absl::StatusOr<StoreCommit> Result) {
    ASSERT_TRUE(Result.ok()) << Result.status();
    Applied = *Result;
  });
  this->waitUntil([&] { return Applied.has_value(); });
  EXPECT_TRUE(Applied->IsApplied);

  std::optional<StoreCommit> Conflict;
  Store.commit(Write, [&](absl::StatusOr<StoreCommit> Result) {
    ASSERT_TRUE(Result.ok()) << Result.status();
    Conflict = *Result;
  });
  this->waitUntil([&] { return Conflict.has_value(); });
  EXPECT_FALSE(Conflict->IsApplied);
  ASSERT_EQ(Conflict->Found.size(), 1U);
  EXPECT_EQ(Conflict->Found[0].Revision, Applied->Revision);

  std::optional<StoreItem> Item;
  Store.get("x/a", [&](absl::StatusOr<std::optional<StoreItem>> Result) {
    ASSERT_TRUE(Result.ok()) << Result.status();
    Item = *Result;
  });
  this->waitUntil([&] { return Item.has_value(); });
  EXPECT_EQ(Item->Value, std::string("\0one", 4));

  std::optional<bool> IsMissing;
  Store.get("x/none", [&](absl::StatusOr<std::optional<StoreItem>> Result) {
    ASSERT_TRUE(Result.ok()) << Result.status();
    IsMissing = !Result->has_value();
  });
  this->waitUntil([&] { return IsMissing.has_value(); });
  EXPECT_TRUE(*IsMissing);

  std::optional<StoreListing> Listing;
  Store.list("x/", [&](absl::StatusOr<StoreListing> Result) {
    ASSERT_TRUE(Result.ok()) << Result.status();
    Listing = *Result;
  });
  this->waitUntil([&] { return Listing.has_value(); });
  EXPECT_EQ(Listing->Items.size(), 1U);

  std::optional<StoreChanges> Changes;
  Store.awaitChanges("x/", Listing->Revision, absl::Seconds(2),
                     [&](absl::StatusOr<StoreChanges> Result) {
                       ASSERT_TRUE(Result.ok()) << Result.status();
                       Changes = *Result;
                     });
  std::optional<absl::Status> Kept;
  Store.renewLease(Lease, [&](absl::Status Result) { Kept = Result; });
  this->waitUntil([&] { return Kept.has_value(); });
  EXPECT_TRUE(Kept->ok());
  std::optional<absl::Status> Ended;
  Store.endLease(Lease, [&](absl::Status Result) { Ended = Result; });
  this->waitUntil([&] { return Ended.has_value() && Changes.has_value(); });
  ASSERT_EQ(Changes->Changes.size(), 1U);
  EXPECT_TRUE(Changes->Changes[0].IsDeleted);

  Kept.reset();
  Store.renewLease(Lease, [&](absl::Status Result) { Kept = Result; });
  this->waitUntil([&] { return Kept.has_value(); });
  EXPECT_EQ(errorKindOf(*Kept), ErrorKind::NotFound);
}

// Guards against reporting a write as refused although it may take effect: the
// peer stops after it has received the call.
TEST_F(StoreRelayTest, LostPeerGivesOutcomeUnknown) {
  this->Platform.Latency = absl::Milliseconds(300);
  std::optional<absl::Status> Result;
  StoreTransaction Write;
  Write.Puts.push_back({"x/a", "one", 0});
  this->First.store().commit(Write, [&](absl::StatusOr<StoreCommit> Answer) {
    Result = Answer.status();
  });
  this->runFor(absl::Milliseconds(150));
  this->Second.reset();
  this->waitUntil([&] { return Result.has_value(); });
  EXPECT_EQ(errorKindOf(*Result), ErrorKind::OutcomeUnknown);
}

// Guards against waiting for a stopped peer, and against reporting an unknown
// outcome although nothing was sent to it.
TEST_F(StoreRelayTest, UnreachablePeerGivesPlatformUnavailable) {
  this->Second.reset();
  std::optional<absl::Status> Result;
  this->First.store().get("x",
                          [&](absl::StatusOr<std::optional<StoreItem>> Answer) {
                            Result = Answer.status();
                          });
  this->waitUntil([&] { return Result.has_value(); });
  EXPECT_EQ(errorKindOf(*Result), ErrorKind::PlatformUnavailable);
}

// Guards against listing, and then asking, hosts that have shut down.
TEST_F(StoreRelayTest, LeavingHostIsRemovedFromTheList) {
  this->Second->leave();
  this->waitUntil(
      [this] { return this->Platform.countWithPrefix("vy/host/") == 1; });
  EXPECT_TRUE(this->Platform.has(RecordKeys::host(HostId("h1"))));
}
