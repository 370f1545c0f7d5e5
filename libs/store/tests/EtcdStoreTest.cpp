#include "store/EtcdStore.h"

#include "StandinPlatform.h"
#include "StoreContract.h"

#include "base/ErrorKind.h"

using namespace vanillayard;

namespace {

class EtcdEnvironment final : public StoreEnvironment {
public:
  Store &store() override { return this->Adapter; }
  bool waitFor(std::function<bool()> Condition) override {
    return this->Platform.waitFor(Condition);
  }
  void setDown(bool Value) override {
    PlatformFaults Faults;
    Faults.Mode = Value ? PlatformMode::Down : PlatformMode::Up;
    this->Platform.Service.setFaults(Faults);
  }
  void loseNextAnswer() override {
    PlatformFaults Faults;
    Faults.Mode = PlatformMode::LoseAnswers;
    Faults.LoseCount = 1;
    this->Platform.Service.setFaults(Faults);
  }
  void breakWatches() override {
    PlatformFaults Faults;
    Faults.BreakWatches = true;
    this->Platform.Service.setFaults(Faults);
  }

private:
  StandinPlatform Platform;
  EtcdStore Adapter{Platform.Client, Platform.Loop, Platform.address(),
                    absl::Seconds(5)};
};

class EtcdStoreTest : public testing::Test {
protected:
  void setMode(PlatformMode Mode) {
    PlatformFaults Faults;
    Faults.Mode = Mode;
    this->Platform.Service.setFaults(Faults);
  }

  absl::StatusOr<RangeResult> list(EtcdStore &From, const std::string &Prefix) {
    absl::StatusOr<RangeResult> Answer = absl::UnknownError("none");
    From.list(Prefix, [&](absl::StatusOr<RangeResult> Result) {
      Answer = std::move(Result);
    });
    EXPECT_TRUE(this->Platform.waitFor(
        [&] { return !absl::IsUnknown(Answer.status()); }));
    return Answer;
  }

  StandinPlatform Platform;
  EtcdStore Adapter{Platform.Client, Platform.Loop, Platform.address(),
                    absl::Seconds(5)};
  EtcdStore ShortTimeoutAdapter{Platform.Client, Platform.Loop,
                                Platform.address(), absl::Milliseconds(50)};
};

} // namespace

INSTANTIATE_TEST_SUITE_P(Etcd, StoreContractTest,
                         testing::Values<StoreEnvironmentFactory>([] {
                           return std::make_unique<EtcdEnvironment>();
                         }));

// Guards against calls that exceed the service's limits: a batch with more
// writes or bytes than one transaction may have, and a list with more keys than
// one page holds.
TEST_F(EtcdStoreTest, LongBatchesAndListsTakeSeveralCalls) {
  std::vector<ConditionalWrite> Writes;
  Writes.reserve(450);
  for (int I = 0; I < 450; ++I)
    Writes.push_back({"/k/" + std::to_string(1000 + I), 0,
                      std::string(I < 3 ? 900000 : 10, 'x'), false});
  absl::StatusOr<std::vector<WriteResult>> Written = absl::UnknownError("none");
  this->Adapter.write(Writes,
                      [&](auto Results) { Written = std::move(Results); });
  ASSERT_TRUE(this->Platform.waitFor([&] { return Written.ok(); }))
      << Written.status();
  ASSERT_EQ(Written->size(), 450u);
  for (const WriteResult &Result : *Written)
    EXPECT_TRUE(Result.Applied);
  auto Listed = this->list(this->Adapter, "/k/");
  ASSERT_TRUE(Listed.ok()) << Listed.status();
  ASSERT_EQ(Listed->Values.size(), 450u);
  for (size_t I = 0; I < 450; ++I)
    EXPECT_EQ(Listed->Values[I].Key, Writes[I].Key);
  EXPECT_EQ(this->Platform.Service.counters().at("range"), 3);
}

// Guards against a caller that waits forever for a service that accepts calls
// but does not answer.
TEST_F(EtcdStoreTest, HangingServiceIsUnavailableAfterTheTimeout) {
  this->setMode(PlatformMode::Hang);
  auto Listed = this->list(this->ShortTimeoutAdapter, "/");
  EXPECT_EQ(errorKindOf(Listed.status()), ErrorKind::PlatformUnavailable);
  absl::Status WatchEnd;
  auto Watch = this->ShortTimeoutAdapter.watch(
      "/", 0, [](const std::vector<WatchEvent> &) {},
      [&](absl::Status Status) { WatchEnd = std::move(Status); });
  EXPECT_TRUE(this->Platform.waitFor([&] { return !WatchEnd.ok(); }));
  EXPECT_EQ(errorKindOf(WatchEnd), ErrorKind::PlatformUnavailable);
}

// Guards against a timeout that closes a watch because no key changes.
TEST_F(EtcdStoreTest, IdleWatchStaysOpen) {
  bool Ended = false;
  int Changes = 0;
  auto Watch = this->ShortTimeoutAdapter.watch(
      "/", 0, [&](const std::vector<WatchEvent> &) { ++Changes; },
      [&](const absl::Status &) { Ended = true; });
  bool Waited = false;
  this->Platform.Loop.runAfter(absl::Milliseconds(200), [&] { Waited = true; });
  EXPECT_TRUE(this->Platform.waitFor([&] { return Waited; }));
  EXPECT_FALSE(Ended);
  this->Adapter.write({{"/x", 0, "v", false}}, [](const auto &) {});
  EXPECT_TRUE(this->Platform.waitFor([&] { return Changes == 1; }));
}

// Guards against the assumption that a write that timed out has no effect: the
// service may still apply it later.
TEST_F(EtcdStoreTest, SlowWriteFailsAndTakesEffectLater) {
  PlatformFaults Faults;
  Faults.Mode = PlatformMode::Slow;
  Faults.Delay = absl::Milliseconds(300);
  this->Platform.Service.setFaults(Faults);
  absl::Status Status;
  this->ShortTimeoutAdapter.write(
      {{"/slow", 0, "v", false}},
      [&](const auto &Result) { Status = Result.status(); });
  EXPECT_TRUE(this->Platform.waitFor([&] { return !Status.ok(); }));
  EXPECT_EQ(errorKindOf(Status), ErrorKind::PlatformUnavailable);
  auto Listed = this->list(this->Adapter, "/slow");
  ASSERT_TRUE(Listed.ok()) << Listed.status();
  EXPECT_EQ(Listed->Values.size(), 1u);
}

// Guards against a crash on answers that violate the protocol: each must be
// reported as an error.
TEST(EtcdStoreAnswerTest, MalformedAnswersAreErrors) {
  LoopExecutor Loop;
  std::string Body;
  auto Server = HttpServer::Builder(Loop)
                    .address(Endpoint("127.0.0.1:0"))
                    .handler([&](const HttpRequest &, const auto &Answer) {
                      Answer->respond({200, {}, Body});
                    })
                    .build();
  ASSERT_TRUE(Server.ok());
  H2oHttpClient Client(Loop);
  EtcdStore Store(Client, Loop, (*Server)->address(), absl::Seconds(5));
  for (const char *Text :
       {"", "[]", "{}", "{\"header\":3}", "{\"header\":{\"revision\":\"x\"}}",
        "{\"header\":{\"revision\":\"5\"},\"kvs\":7,\"responses\":7}",
        "{\"header\":{\"revision\":\"5\"},\"kvs\":[{}],\"responses\":[{}]}",
        "{\"header\":{\"revision\":\"5\"},\"kvs\":[{\"key\":\"?\"}],"
        "\"responses\":[{\"response_txn\":{\"responses\":[{}]}}]}",
        "{\"header\":{\"revision\":\"5\"},\"kvs\":[{\"key\":\"YQ==\","
        "\"mod_revision\":[]}],\"responses\":[3,4]}"}) {
    Body = Text;
    int Errors = 0;
    auto Count = [&](const auto &Result) {
      EXPECT_EQ(errorKindOf(Result.status()), ErrorKind::PlatformUnavailable)
          << Text;
      if (++Errors == 3)
        Loop.stop();
    };
    Store.get("/a", Count);
    Store.list("/a", Count);
    Store.write({{"/a", 0, "v", false}}, Count);
    Loop.run();
  }
}

// Guards against a watch that loses a line which arrives in several chunks, and
// against one that stays open after the service cancelled it, reported an error
// or sent invalid JSON.
TEST(EtcdStoreAnswerTest, WatchReadsChunkedLinesAndEndsOnError) {
  const std::string Created = "{\"result\":{\"created\":true}}\n";
  const std::string Event =
      "{\"result\":{\"events\":[{\"kv\":{\"key\":\"YQ==\","
      "\"value\":\"YQ==\",\"mod_revision\":\"2\"}}]}}\n";
  for (const std::string &Last :
       {std::string("{\"result\":{\"canceled\":true}}\n"),
        std::string("{\"error\":{\"grpc_code\":14}}\n"),
        std::string("not JSON\n")}) {
    LoopExecutor Loop;
    std::string Rest = Created;
    Rest += Event;
    Rest += Last;
    std::function<void(std::shared_ptr<HttpResponder>)> WriteNext =
        [&](const std::shared_ptr<HttpResponder> &Answer) {
          if (Rest.empty())
            return;
          Answer->write(Rest.substr(0, 7));
          Rest.erase(0, 7);
          Loop.runAfter(absl::Milliseconds(1),
                        [&, Answer] { WriteNext(Answer); });
        };
    auto Server = HttpServer::Builder(Loop)
                      .address(Endpoint("127.0.0.1:0"))
                      .handler([&](const HttpRequest &, const auto &Answer) {
                        Answer->beginStream({200, {}, ""});
                        WriteNext(Answer);
                      })
                      .build();
    ASSERT_TRUE(Server.ok());
    H2oHttpClient Client(Loop);
    EtcdStore Store(Client, Loop, (*Server)->address(), absl::Seconds(5));
    int Changes = 0;
    bool Ended = false;
    auto Watch = Store.watch(
        "/", 0, [&](const std::vector<WatchEvent> &) { ++Changes; },
        [&](const absl::Status &Status) {
          EXPECT_EQ(errorKindOf(Status), ErrorKind::PlatformUnavailable);
          Ended = true;
          Loop.stop();
        });
    // Time limit, reached only if the test fails.
    Loop.runAfter(absl::Seconds(20), [&] { Loop.stop(); });
    Loop.run();
    EXPECT_EQ(Changes, 1) << Last;
    EXPECT_TRUE(Ended) << Last;
  }
}
