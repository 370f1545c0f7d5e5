#include "SystemTest.h"

#include "standin_worker/TaskBody.h"

#include <fmt/format.h>

namespace vanillayard {

using nlohmann::json;

namespace {

class IsolatedDataCentreTest : public SystemTest {
protected:
  /// Starts two data centres; the hosts of dc2 reach the platform through a
  /// relay.
  void startWithRelay() {
    this->startCluster(
        Cluster::Builder().dataCentres(2).workersPerDataCentre(2).settings(
            [this](Settings::Builder &Text) { this->useRelay(Text); }));
  }
  void setRelayFaults(const std::string &Faults) {
    auto Answer =
        this->cluster().http().post(this->Control, "/v1/links/all", Faults);
    ASSERT_TRUE(Answer.ok()) << Answer.status();
    ASSERT_EQ(Answer->Status, 200) << Answer->Body;
  }

private:
  void useRelay(Settings::Builder &Text) {
    absl::StatusOr<Settings> Built = Text.build();
    ASSERT_TRUE(Built.ok()) << Built.status();
    if (Built->DataCentre.str() != "dc2")
      return;
    if (!this->Relay)
      this->startRelay(Built->PlatformKeyValue);
    Text.platform(this->Link);
  }
  void startRelay(const Endpoint &Target) {
    auto Started = Process::start(Process::program("standin-relay"),
                                  {"--targets=" + Target.str()},
                                  this->Folder.file("relay.log"));
    ASSERT_TRUE(Started.ok()) << Started.status();
    this->Relay = std::move(*Started);
    auto Addresses = this->Relay->waitForListening(2);
    ASSERT_TRUE(Addresses.ok()) << Addresses.status();
    this->Control = Addresses->at(0).Address;
    this->Link = Addresses->at(1).Address;
  }

  TemporaryFolder Folder;
  std::unique_ptr<Process> Relay;
  Endpoint Control;
  Endpoint Link;
};

} // namespace

// Guards against a data centre that needs the platform or the other data
// centre to serve its own callers. The relay cuts dc2 off from the platform,
// and the hosts of dc1 are paused.
TEST_F(IsolatedDataCentreTest, DataCentreServesItsOwnCallers) {
  this->startWithRelay();
  if (this->HasFatalFailure())
    return;
  for (size_t Host : {0, 1})
    this->cluster().host(Host).Running->pause();
  this->setRelayFaults(R"({"cut": true})");
  // Long enough for every component of dc2 to consider the hosts of dc1 dead.
  absl::Time End = absl::Now() + absl::Seconds(8);
  int Number = 0;
  while (absl::Now() < End) {
    std::string Body = TaskBody::make(absl::Milliseconds(5),
                                      fmt::format("check {}", ++Number));
    size_t Host = 2 + static_cast<size_t>(Number) % 2;
    HttpResponse Answer = this->send(Host, priceCheck(Body));
    EXPECT_EQ(Answer.Status, 200) << Number << ": " << Answer.Body;
    EXPECT_TRUE(TaskBody::isResultOf(Answer.Body, "", Body));
    this->cluster().http().runFor(absl::Milliseconds(50));
  }
  std::string Proof = TaskBody::make(absl::Milliseconds(5), "proof");
  HttpResponse Answer = this->send(2, quickProof(Proof, "proof"));
  EXPECT_EQ(describe(Answer), "503 platform_unavailable not_run");
  EXPECT_TRUE(this->runsWithBody(Proof).empty());
  EXPECT_EQ(this->configurationGeneration(2), 1);

  this->setRelayFaults("{}");
  for (size_t Host : {0, 1})
    this->cluster().host(Host).Running->resume();
  EXPECT_TRUE(this->waitUntil([&] {
    Answer = this->send(2, quickProof(Proof, "proof"));
    return Answer.Status == 200;
  })) << describe(Answer);
  EXPECT_EQ(this->runsWithBody(Proof).size(), 1U);
}

} // namespace vanillayard
