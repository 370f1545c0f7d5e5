#include "control/ConfigurationWatcher.h"

#include "base/VirtualExecutor.h"
#include "control/testing/FakeCoordinationStore.h"
#include "fleet/QueueTable.h"
#include "observe/Log.h"

#include "absl/strings/numbers.h"

#include <gtest/gtest.h>

using namespace vanillayard;
using Fault = FakeCoordinationStore::Fault;

static absl::StatusOr<FleetConfiguration> decodeVersion(std::string_view Text) {
  FleetConfiguration Configuration;
  if (!absl::SimpleAtoi(std::string(Text), &Configuration.Version))
    return absl::InvalidArgumentError("the value is not a version number");
  return Configuration;
}

class ConfigurationWatcherTest : public testing::Test {
protected:
  ConfigurationWatcherTest()
      : Events(Exec, [](std::string_view) {}), Store(Exec),
        Watcher(Exec, Store, Events, "configuration", decodeVersion) {
    this->Watcher.start([this](std::shared_ptr<const QueueTable> Newer) {
      this->Seen.push_back(Newer->configuration().Version);
    });
  }

  VirtualExecutor Exec;
  Log Events;
  FakeCoordinationStore Store;
  ConfigurationWatcher Watcher;
  std::vector<int64_t> Seen;
};

TEST_F(ConfigurationWatcherTest, EachVersionComesIntoForce) {
  this->Exec.advance(absl::Seconds(1));
  EXPECT_EQ(this->Watcher.current(), nullptr);
  this->Store.put("configuration", "3");
  this->Exec.advance(absl::Seconds(1));
  this->Store.put("configuration", "6");
  this->Exec.advance(absl::Milliseconds(100));
  EXPECT_EQ(this->Seen, (std::vector<int64_t>{3, 6}));
}

// Guards against replacing a version that callers have seen by an older one.
TEST_F(ConfigurationWatcherTest, OlderOrUnreadableVersionIsIgnored) {
  this->Store.put("configuration", "6");
  this->Exec.advance(absl::Seconds(1));
  this->Store.put("configuration", "3");
  this->Store.put("configuration", "nonsense");
  this->Exec.advance(absl::Seconds(1));
  EXPECT_EQ(this->Watcher.current()->configuration().Version, 6);
}

TEST_F(ConfigurationWatcherTest, KeyIsReadAgainAfterLostHistory) {
  this->Store.put("configuration", "3");
  this->Exec.advance(absl::Seconds(1));
  this->Store.Faults = [](const std::string &) { return Fault::Drop; };
  this->Exec.advance(absl::Seconds(3));
  this->Store.put("configuration", "6");
  this->Store.compact();
  this->Store.Faults = nullptr;
  this->Exec.advance(absl::Seconds(3));
  EXPECT_EQ(this->Watcher.current()->configuration().Version, 6);
}

// Guards against missing a new version while the open watch gets no answer, as
// on a connection that has failed without being closed.
TEST_F(ConfigurationWatcherTest, UnansweredWatchIsReplaced) {
  this->Store.put("configuration", "3");
  this->Exec.advance(absl::Seconds(1));
  this->Store.Faults = [](const std::string &Call) {
    return Call == "watch" ? Fault::Drop : Fault::None;
  };
  this->Exec.advance(absl::Seconds(2));
  this->Store.put("configuration", "6");
  this->Exec.advance(absl::Seconds(3));
  EXPECT_EQ(this->Watcher.current()->configuration().Version, 6);
}

// Guards against reading the key in a loop without delay when its last change
// is older than the history that the store keeps.
TEST_F(ConfigurationWatcherTest, ShortHistoryCausesNoReadLoop) {
  this->Store.put("configuration", "3");
  this->Store.put("other", "x");
  this->Store.compact();
  this->Exec.advance(absl::Seconds(10));
  EXPECT_EQ(this->Watcher.current()->configuration().Version, 3);
  EXPECT_LT(this->Store.Calls["get"] + this->Store.Calls["watch"], 30);
}
