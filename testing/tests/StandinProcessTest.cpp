#include "testing/Process.h"
#include "testing/TemporaryFolder.h"
#include "testing/TestHttpClient.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace vanillayard;

/// Starts stand-in programs as real processes and sends requests to them.
class StandinProcessTest : public testing::Test {
protected:
  std::vector<ListeningAddress> start(const std::string &Program,
                                      std::vector<std::string> Arguments,
                                      size_t Listeners) {
    auto Started = Process::start(Process::program(Program), Arguments,
                                  this->Folder.file(Program + ".log"));
    EXPECT_TRUE(Started.ok()) << Started.status();
    this->Running.push_back(std::move(*Started));
    auto Addresses = this->Running.back()->waitForListening(Listeners);
    EXPECT_TRUE(Addresses.ok()) << Addresses.status();
    return Addresses.ok() ? *Addresses : std::vector<ListeningAddress>();
  }
  nlohmann::json get(const Endpoint &From, const std::string &Path) {
    auto Response = this->Http.get(From, Path);
    EXPECT_TRUE(Response.ok()) << Response.status();
    return Response.ok() ? nlohmann::json::parse(Response->Body, nullptr, false)
                         : nlohmann::json();
  }

  TemporaryFolder Folder;
  TestHttpClient Http;
  std::vector<std::unique_ptr<Process>> Running;
};

TEST_F(StandinProcessTest, OneProcessHostsManyWorkersInRacks) {
  auto Workers = this->start("standin-worker",
                             {"--name=dc1-w", "--rack=r", "--workers=3",
                              "--first=4", "--workers_per_rack=2"},
                             3);
  ASSERT_EQ(Workers.size(), 3u);
  const std::string Racks[] = {"r3", "r3", "r4"};
  for (size_t I = 0; I < 3; ++I) {
    nlohmann::json Status = this->get(Workers[I].Address, "/v1/status");
    EXPECT_EQ(Status["worker"], Workers[I].Name);
    EXPECT_EQ(Status["worker"], "dc1-w" + std::to_string(I + 5));
    EXPECT_EQ(Status["rack"], Racks[I]);
  }
  auto Faulty =
      this->Http.post(Workers[0].Address, "/v1/faults", "{\"draining\":true}");
  EXPECT_EQ(Faulty->Status, 200);
  EXPECT_EQ(this->get(Workers[0].Address, "/v1/status")["draining"], true);
  EXPECT_TRUE(
      this->get(Workers[1].Address, "/v1/executions")["executions"].empty());
  this->Running[0]->terminate();
  EXPECT_EQ(*this->Running[0]->waitForExit(), 0);
}

// Guards against a relay that does not carry the connections to its target, so
// that a cut link has no effect, or that disturbs the target itself.
TEST_F(StandinProcessTest, RelayForwardsAndCutsConnections) {
  auto Workers = this->start("standin-worker", {"--name=w"}, 1);
  ASSERT_EQ(Workers.size(), 1u);
  auto Relay = this->start("standin-relay",
                           {"--targets=" + Workers[0].Address.str()}, 2);
  ASSERT_EQ(Relay.size(), 2u);
  EXPECT_EQ(Relay[0].Name, "control");
  EXPECT_EQ(this->get(Relay[1].Address, "/v1/status")["worker"], "w");
  EXPECT_EQ(this->Http.post(Relay[0].Address, "/v1/links/0", "{\"cut\":true}")
                ->Status,
            200);
  EXPECT_FALSE(this->Http.get(Relay[1].Address, "/v1/status").ok());
  EXPECT_EQ(this->get(Workers[0].Address, "/v1/status")["worker"], "w");
}
