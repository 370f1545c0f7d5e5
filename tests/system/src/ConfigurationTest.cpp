#include "SystemTest.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace vanillayard {

using nlohmann::json;

namespace {

class ConfigurationTest : public SystemTest {
protected:
  /// Waits until all \p Hosts have generation \p Wanted; checks at every poll
  /// that no host's generation has decreased.
  bool waitForGeneration(const std::vector<size_t> &Hosts, int64_t Wanted) {
    return this->waitUntil([&] {
      bool All = true;
      for (size_t Host : Hosts) {
        int64_t Now = this->configurationGeneration(Host);
        // Zero: the host does not answer or has no configuration yet.
        if (Now > 0) {
          EXPECT_GE(Now, this->Highest[Host]) << "host " << Host;
          this->Highest[Host] = std::max(this->Highest[Host], Now);
        }
        All = All && Now == Wanted;
      }
      return All;
    });
  }

  /// Starts `configuration apply` with the sample at \p Generation, in which
  /// the first account has \p Weight.
  std::unique_ptr<Process> startApply(int64_t Generation, int Weight) {
    json Document = json::parse(sampleConfiguration());
    Document["generation"] = Generation;
    Document["accounts"][0]["weight"] = Weight;
    std::string Name = fmt::format("operator{}", Weight);
    std::string File =
        this->cluster().folder().write(Name + ".json", Document.dump());
    auto Started =
        Process::start(Process::program("vanillayard"),
                       {"--admin=" + this->cluster().host(0).Admin.str(),
                        "--platform=" + this->cluster().platform().str(),
                        "configuration", "apply", File},
                       this->cluster().folder().file(Name + ".log"));
    EXPECT_TRUE(Started.ok()) << Started.status();
    return Started.ok() ? std::move(*Started) : nullptr;
  }

  std::map<size_t, int64_t> Highest;
};

} // namespace

// Guards against a host that keeps an old configuration after it was paused
// or started without the store, and against a generation that decreases.
TEST_F(ConfigurationTest, ChangeReachesPausedAndRestartedHosts) {
  this->startCluster(Cluster::Builder().dataCentres(2).workersPerDataCentre(1));
  if (this->HasFatalFailure())
    return;
  ASSERT_TRUE(this->waitForGeneration({0, 1, 2, 3}, 1));
  this->cluster().host(1).Running->pause();
  auto Output =
      this->cluster().runOperatorCommandOn(0, {"preset", "set", "peak"});
  EXPECT_TRUE(Output.ok()) << Output.status();
  EXPECT_TRUE(this->waitForGeneration({0, 2, 3}, 2));
  this->cluster().host(1).Running->resume();
  EXPECT_TRUE(this->waitForGeneration({0, 1, 2, 3}, 2));

  absl::Status Stopped = this->cluster().stopHost(3);
  EXPECT_TRUE(Stopped.ok()) << Stopped;
  this->setPlatformFaults(R"({"mode": "down"})");
  absl::Status Started = this->cluster().startHost(3);
  ASSERT_TRUE(Started.ok()) << Started;
  EXPECT_TRUE(this->waitForGeneration({0, 1, 2, 3}, 2));
  EXPECT_EQ(this->adminStatus(3).value("preset", ""), "peak");
  // The store returns and serves stale data at first.
  this->setPlatformFaults(R"({"mode": "stale", "revisions": 1})");
  this->cluster().http().runFor(absl::Seconds(1));
  EXPECT_TRUE(this->waitForGeneration({0, 1, 2, 3}, 2));
}

// Guards against one operator's change silently overwriting another's when
// both start from the same generation.
TEST_F(ConfigurationTest, OnlyOneOfTwoConcurrentChangesIsApplied) {
  this->startCluster(Cluster::Builder().workersPerDataCentre(1));
  if (this->HasFatalFailure())
    return;
  for (int Round = 0; Round < 5; ++Round) {
    std::vector<std::unique_ptr<Process>> Operators;
    std::vector<int> Weights = {2 + 2 * Round, 3 + 2 * Round};
    Operators.reserve(Weights.size());
    for (int Weight : Weights)
      Operators.push_back(this->startApply(Round + 1, Weight));
    std::vector<int> Codes;
    for (auto &Operator : Operators) {
      ASSERT_TRUE(Operator);
      ASSERT_TRUE(
          this->waitUntil([&] { return Operator->exitCode().has_value(); }));
      Codes.push_back(*Operator->exitCode());
    }
    size_t Winner = Codes[0] == 0 ? 0 : 1;
    EXPECT_EQ(Codes[Winner], 0) << Operators[Winner]->output();
    EXPECT_EQ(Codes[1 - Winner], 3) << Operators[1 - Winner]->output();
    EXPECT_TRUE(this->waitForGeneration({0, 1}, Round + 2));
    auto Stored = this->cluster().runOperatorCommand({"configuration", "show"});
    ASSERT_TRUE(Stored.ok()) << Stored.status();
    json Document = parseObject(*Stored);
    ASSERT_TRUE(Document["accounts"].is_array()) << *Stored;
    EXPECT_EQ(Document["accounts"][0]["weight"], Weights[Winner]);
  }
}

} // namespace vanillayard
