#include "StoreContract.h"

#include "base/ErrorKind.h"
#include "base/VirtualExecutor.h"
#include "store/testing/FakeStore.h"

using namespace vanillayard;

namespace {

class FakeStoreEnvironment final : public StoreEnvironment {
public:
  Store &store() override { return this->Fake; }
  bool waitFor(std::function<bool()> Condition) override {
    for (int Ms = 0; Ms < 10000 && !Condition(); ++Ms)
      this->Exec.advance(absl::Milliseconds(1));
    return Condition();
  }
  void setDown(bool Value) override { this->Fake.setDown(Value); }
  void loseNextAnswer() override { this->Fake.loseAnswers(1); }
  void breakWatches() override { this->Fake.breakWatches(); }

private:
  VirtualExecutor Exec;
  FakeStore Fake{Exec};
};

} // namespace

INSTANTIATE_TEST_SUITE_P(Fake, StoreContractTest,
                         testing::Values<StoreEnvironmentFactory>([] {
                           return std::make_unique<FakeStoreEnvironment>();
                         }));

// The tests below cover the injected faults that tests of other libraries rely
// on.

// Guards against a fake that drops a write whose call timed out: a real store
// may still apply it later.
TEST(FakeStoreTest, SlowWriteFailsAtTheTimeoutAndTakesEffectLater) {
  VirtualExecutor Exec;
  FakeStore Fake(Exec);
  Fake.setLatency(absl::Seconds(4));
  bool Failed = false;
  Fake.write({{"/k", 0, "v", false}}, [&](auto Result) {
    Failed = errorKindOf(Result.status()) == ErrorKind::PlatformUnavailable;
  });
  Exec.advance(absl::Seconds(1));
  EXPECT_TRUE(Failed);
  EXPECT_FALSE(Fake.data().read("/k").has_value());
  Exec.advance(absl::Seconds(1));
  EXPECT_TRUE(Fake.data().read("/k").has_value());
}

// Guards against a fake that applies one client's faults to the others, or that
// reports changes to a silent watch.
TEST(FakeStoreTest, StaleReadsAndSilentWatches) {
  VirtualExecutor Exec;
  FakeStore Fake(Exec);
  FakeStore Other(Exec, Fake.sharedData());
  Fake.data().put("/k", "1");
  Fake.data().put("/k", "2");
  Fake.setStaleReads(1);
  Fake.setWatchesSilent(true);
  int Changes = 0;
  auto Watch = Fake.watch(
      "/k", 1, [&](const std::vector<WatchEvent> &) { ++Changes; },
      [](const absl::Status &) {});
  std::string Stale;
  std::string Fresh;
  Fake.get("/k", [&](auto Result) { Stale = Result->Values.at(0).Value; });
  Other.get("/k", [&](auto Result) { Fresh = Result->Values.at(0).Value; });
  Exec.advance(absl::Seconds(1));
  EXPECT_EQ(Stale, "1");
  EXPECT_EQ(Fresh, "2");
  EXPECT_EQ(Changes, 0);
}
