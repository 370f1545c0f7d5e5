#include "configsync/ConfigurationTask.h"

#include "SampleConfiguration.h"

#include "base/VirtualExecutor.h"
#include "config/Configuration.h"
#include "configsync/ConfigurationPeers.h"
#include "store/testing/FakeStore.h"

#include <gtest/gtest.h>

using namespace vanillayard;

namespace {

/// Records each request; the test answers it through PendingCallback.
class ManualPeers final : public ConfigurationPeers {
public:
  void fetchDocument(const HostId &Host, int64_t, Callback Done) override {
    this->RequestedHosts.push_back(Host);
    this->PendingCallback = std::move(Done);
  }

  std::vector<HostId> RequestedHosts;
  Callback PendingCallback;
};

class ConfigurationTaskTest : public testing::Test {
protected:
  void start() {
    this->Task = std::make_unique<ConfigurationTask>(
        this->Exec, this->Store, this->Peers, [this] {
          this->NotifiedGenerations.push_back(this->Task->generation());
        });
    this->Task->start();
  }

  void put(int64_t Generation, const std::string &Preset = "ordinary") {
    this->Store.data().put(ConfigurationTask::Key,
                           sampleDocument(Generation, Preset));
  }

  VirtualExecutor Exec;
  FakeStore Store{Exec};
  ManualPeers Peers;
  std::unique_ptr<ConfigurationTask> Task;
  std::vector<int64_t> NotifiedGenerations;
};

} // namespace

// Guards against a host that applies a change only at the next periodic read
// although the watch works.
TEST_F(ConfigurationTaskTest, WatchAppliesAChangeAtOnce) {
  this->put(1);
  this->start();
  this->Exec.advance(absl::Milliseconds(10));
  EXPECT_EQ(this->Task->generation(), 1);
  this->Exec.advance(absl::Seconds(10));
  this->put(2, "peak");
  this->Exec.advance(absl::Milliseconds(2));
  EXPECT_EQ(this->Task->generation(), 2);
  EXPECT_EQ(this->Task->current()->PresetInForce, PresetId("peak"));
  EXPECT_EQ(this->NotifiedGenerations, (std::vector<int64_t>{1, 2}));
  EXPECT_EQ(this->Task->watchesOpened(), 1);
}

// Guards against a host that misses a change because its watch fails silently,
// and against keeping that watch open.
TEST_F(ConfigurationTaskTest, PeriodicReadReplacesASilentWatch) {
  this->put(1);
  this->start();
  this->Exec.advance(absl::Seconds(1));
  this->Store.setWatchesSilent(true);
  this->put(2);
  this->Exec.advance(absl::Milliseconds(2010));
  EXPECT_EQ(this->Task->generation(), 2);
  EXPECT_EQ(this->Task->watchesOpened(), 2);
  this->Store.setWatchesSilent(false);
  this->put(3);
  this->Exec.advance(absl::Milliseconds(2));
  EXPECT_EQ(this->Task->generation(), 3);
}

// Guards against a host that has no configuration while the store is down
// although a peer has one, and against a second request while one is in flight
// when several peers announce the same generation.
TEST_F(ConfigurationTaskTest, StartsFromAPeerWhileTheStoreIsDown) {
  this->Store.setDown(true);
  this->start();
  this->Exec.advance(absl::Seconds(5));
  EXPECT_EQ(this->Task->current(), nullptr);
  EXPECT_FALSE(this->Task->isStoreReachable());
  this->Task->onNewerGeneration(HostId("a"), 4);
  this->Task->onNewerGeneration(HostId("b"), 4);
  EXPECT_EQ(this->Peers.RequestedHosts, (std::vector<HostId>{HostId("a")}));
  // After the request to the first peer has failed, the next announcement
  // leads to a new request.
  this->Peers.PendingCallback(absl::UnavailableError("timeout"));
  this->Task->onNewerGeneration(HostId("b"), 4);
  EXPECT_EQ(this->Peers.RequestedHosts.size(), 2u);
  this->Peers.PendingCallback(sampleDocument(4, "peak"));
  EXPECT_EQ(this->Task->generation(), 4);
  EXPECT_EQ(this->Task->document(), sampleDocument(4, "peak"));
  this->Task->onNewerGeneration(HostId("a"), 4);
  EXPECT_EQ(this->Peers.RequestedHosts.size(), 2u);
}

// Guards against a revert by a document of an old generation, from a peer or
// from the store.
TEST_F(ConfigurationTaskTest, OldDocumentsChangeNothing) {
  this->put(5, "peak");
  this->start();
  this->Exec.advance(absl::Seconds(1));
  for (int64_t Old : {4, 5}) {
    this->Task->onNewerGeneration(HostId("a"), 6);
    this->Peers.PendingCallback(sampleDocument(Old, "ordinary"));
  }
  this->put(4, "ordinary");
  this->Exec.advance(absl::Seconds(5));
  EXPECT_EQ(this->Task->generation(), 5);
  EXPECT_EQ(this->Task->current()->PresetInForce, PresetId("peak"));
  EXPECT_EQ(this->Task->appliedCount(), 1);
}

// Guards against an invalid document that comes into force, and against
// counting the same document again at every read.
TEST_F(ConfigurationTaskTest, InvalidDocumentIsRefusedAndCountedOnce) {
  this->put(1);
  this->start();
  this->Exec.advance(absl::Seconds(1));
  this->Store.data().put(ConfigurationTask::Key, "{\"generation\": 9}");
  this->Exec.advance(absl::Seconds(20));
  EXPECT_EQ(this->Task->generation(), 1);
  for (int I = 0; I < 2; ++I) {
    this->Task->onNewerGeneration(HostId("a"), 9);
    this->Peers.PendingCallback("{\"generation\": 9}");
  }
  EXPECT_EQ(this->Task->refusedCount(), 1);
  EXPECT_FALSE(this->Task->lastRefusal().ok());
  this->put(10);
  this->Exec.advance(absl::Milliseconds(10));
  EXPECT_EQ(this->Task->generation(), 10);
}

// Guards against a change that takes longer than 3 s: a read that was skipped
// while a slow one was in flight must be made as soon as that one fails, not
// after another interval.
TEST_F(ConfigurationTaskTest, SkippedReadIsMadeAfterAFailedOne) {
  this->Store.setTimeout(absl::Seconds(3));
  this->put(1);
  this->start();
  this->Exec.advance(absl::Seconds(1));
  this->Store.setPartitioned(true);
  this->put(2);
  // The read at 2 s fails at 5 s, so the read at 4 s is skipped.
  this->Exec.advance(absl::Milliseconds(3500));
  this->Store.setPartitioned(false);
  this->Exec.advance(absl::Milliseconds(600));
  EXPECT_EQ(this->Task->generation(), 2);
}

// Guards against a host that ignores the document of a store that was recreated
// and has lower revisions.
TEST_F(ConfigurationTaskTest, RecreatedStoreWithLowerRevisionsIsRead) {
  for (int I = 0; I < 50; ++I)
    this->Store.data().put("/other", "x");
  this->put(1);
  this->start();
  this->Exec.advance(absl::Seconds(1));
  this->Store.setDown(true);
  this->Store.data() = FakeStoreData();
  this->put(2);
  this->Store.setDown(false);
  this->Exec.advance(absl::Seconds(5));
  EXPECT_EQ(this->Task->generation(), 2);
}

// Guards against reopening a watch without backoff while it keeps breaking.
TEST_F(ConfigurationTaskTest, BrokenWatchBacksOff) {
  this->put(1);
  this->start();
  for (int I = 0; I < 6000; ++I) {
    this->Store.breakWatches();
    this->Exec.advance(absl::Milliseconds(10));
  }
  EXPECT_GT(this->Task->watchesOpened(), 10);
  EXPECT_LT(this->Task->watchesOpened(), 100);
}
