#include "Cli.h"

#include "config/ConfigurationCodec.h"
#include "net/HttpServer.h"
#include "net/LoopExecutor.h"
#include "standin_platform/PlatformService.h"
#include "testing/Process.h"
#include "testing/TemporaryFolder.h"

#include "absl/strings/escaping.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

using namespace vanillayard;
using nlohmann::json;

namespace {

/// Fake admin listener of a host. The test sets its answers by path.
class FakeHost {
public:
  explicit FakeHost(LoopExecutor &Loop) {
    auto Built =
        HttpServer::Builder(Loop)
            .address(Endpoint("127.0.0.1:0"))
            .handler([this](const HttpRequest &Request, const auto &Answer) {
              this->Calls.push_back(Request.Method + " " + Request.Path +
                                    Request.Body);
              auto Found = this->Answers.find(Request.Path);
              if (Found != this->Answers.end())
                return Answer->respond({200, {}, Found->second()});
              Answer->respond(
                  {404, {}, R"({"kind":"not_found","detail":"no"})"});
            })
            .build();
    EXPECT_TRUE(Built.ok()) << Built.status();
    this->Server = std::move(*Built);
  }

  Endpoint address() const { return this->Server->address(); }

  std::map<std::string, std::function<std::string()>> Answers;
  std::vector<std::string> Calls;

private:
  std::unique_ptr<HttpServer> Server;
};

class CliTest : public testing::Test {
protected:
  CliTest() {
    auto Built = HttpServer::Builder(this->Loop)
                     .address(Endpoint("127.0.0.1:0"))
                     .maxBodyBytes(PlatformService::MaxBodyBytes)
                     .handler(this->Service.handler())
                     .build();
    EXPECT_TRUE(Built.ok()) << Built.status();
    this->Server = std::move(*Built);
    this->Options.Platform = this->Server->address();
    this->Options.AdminAddresses = {this->A.address(), this->B.address()};
    this->Options.Output = [this](const std::string &Text) {
      this->Output += Text;
    };
    this->Options.ErrorOutput = [this](const std::string &Text) {
      this->ErrorOutput += Text;
    };
    // Each host has every accepted change in force from the third status call
    // on.
    for (FakeHost *Host : {&this->A, &this->B})
      Host->Answers["/v1/admin/status"] = [StatusCalls = 0]() mutable {
        return json(
                   {{"host", "h"}, {"generation", ++StatusCalls >= 3 ? 99 : 0}})
            .dump();
      };
    std::ifstream File(std::string(SAMPLES_DIR) + "/configuration.json");
    std::ostringstream Text;
    Text << File.rdbuf();
    this->Sample = json::parse(Text.str());
  }

  ExitCode run(const Cli::Arguments &Words) {
    this->Output.clear();
    this->ErrorOutput.clear();
    return Cli(this->Loop, this->Options).run(Words);
  }

  ExitCode apply(const json &Document) {
    std::string Path = this->Folder.file("configuration.json");
    std::ofstream(Path) << Document.dump();
    return this->run({"configuration", "apply", Path});
  }

  Configuration stored() {
    EXPECT_EQ(this->run({"configuration", "show"}), ExitCode::Ok)
        << this->ErrorOutput;
    auto Config = ConfigurationCodec::decode(this->Output);
    EXPECT_TRUE(Config.ok()) << Config.status();
    return Config.ok() ? *Config : Configuration();
  }

  void setFaults(PlatformMode Mode, int64_t Count = 0) {
    PlatformFaults Faults;
    Faults.Mode = Mode;
    Faults.LoseCount = Count;
    this->Service.setFaults(Faults);
  }

  LoopExecutor Loop;
  TemporaryFolder Folder;
  PlatformService Service{Loop};
  std::unique_ptr<HttpServer> Server;
  FakeHost A{Loop};
  FakeHost B{Loop};
  CliOptions Options;
  std::string Output;
  std::string ErrorOutput;
  json Sample;
};

} // namespace

// Guards against reporting a change as done before every host has it in force.
TEST_F(CliTest, ApplyWritesAndWaitsForEveryHost) {
  EXPECT_EQ(this->run({"configuration", "show"}), ExitCode::Failure);
  ASSERT_EQ(this->apply(this->Sample), ExitCode::Ok) << this->ErrorOutput;
  EXPECT_EQ(this->Output, "generation 1 is in force\n");
  EXPECT_NE(this->ErrorOutput.find("in force on 0 of 2 hosts"),
            std::string::npos);
  EXPECT_NE(this->ErrorOutput.find("in force on 2 of 2 hosts"),
            std::string::npos);
  EXPECT_EQ(this->run({"preset", "set", "peak"}), ExitCode::Ok)
      << this->ErrorOutput;
  EXPECT_NE(
      this->ErrorOutput.find("~ preset_in_force: \"ordinary\" -> \"peak\""),
      std::string::npos);
  EXPECT_EQ(this->stored().Generation, 2);
  EXPECT_EQ(this->stored().PresetInForce, PresetId("peak"));
  EXPECT_EQ(this->run({"preset", "set", "holiday"}), ExitCode::Failure);
  EXPECT_EQ(this->run({"preset", "show"}), ExitCode::Ok);
  EXPECT_EQ(this->Output, "  ordinary\n* peak\n  maintenance\n");
}

// Guards against overwriting another operator's change.
TEST_F(CliTest, ApplyOfAnOldFileIsAConflict) {
  ASSERT_EQ(this->apply(this->Sample), ExitCode::Ok);
  ASSERT_EQ(this->run({"preset", "set", "maintenance"}), ExitCode::Ok);
  this->Sample["limits"]["max_queued"] = 7;
  EXPECT_EQ(this->apply(this->Sample), ExitCode::Conflict);
  EXPECT_EQ(this->stored().PresetInForce, PresetId("maintenance"));
  EXPECT_EQ(this->stored().Bounds.MaxQueued, 100000);
}

// Guards against overwriting a change that another operator writes between the
// read and the write of a command.
TEST_F(CliTest, WriteBetweenReadAndWriteIsAConflict) {
  ASSERT_EQ(this->apply(this->Sample), ExitCode::Ok);
  H2oHttpClient Other(this->Loop);
  json Changed = this->Sample;
  Changed["generation"] = 2;
  HttpRequest Put;
  Put.Method = "POST";
  Put.Path = "/v3/kv/put";
  Put.Body = json({{"key", absl::Base64Escape("/vanillayard/config")},
                   {"value", absl::Base64Escape(Changed.dump())}})
                 .dump();
  // The other operator writes when the command prints the first difference,
  // which is before its own write.
  bool IsFirst = true;
  this->Options.ErrorOutput = [&](const std::string &Text) {
    this->ErrorOutput += Text;
    if (!std::exchange(IsFirst, false))
      return;
    Other.send(this->Options.Platform, Put, absl::Seconds(5),
               [this](const auto &) { this->Loop.stop(); });
    this->Loop.run();
  };
  EXPECT_EQ(this->run({"preset", "set", "peak"}), ExitCode::Conflict)
      << this->ErrorOutput;
  EXPECT_EQ(this->stored().PresetInForce, PresetId("ordinary"));
}

// Guards against reporting a conflict or a failure when the write took effect
// and only its answer was lost.
TEST_F(CliTest, LostAnswerOfAWriteIsNoFailure) {
  this->setFaults(PlatformMode::LoseAnswers, 1);
  EXPECT_EQ(this->apply(this->Sample), ExitCode::Ok) << this->ErrorOutput;
  EXPECT_EQ(this->stored().Generation, 1);
}

// Guards against exit codes by which a script cannot tell an invalid file, an
// unavailable service and wrong usage apart.
TEST_F(CliTest, ExitCodesDistinguishErrors) {
  this->Options.WaitLimit = absl::Milliseconds(300);
  this->Sample["accounts"][0]["weight"] = -1;
  EXPECT_EQ(this->apply(this->Sample), ExitCode::Failure);
  EXPECT_NE(this->ErrorOutput.find(
                "accounts[0].weight: is -1; must be a number from"),
            std::string::npos)
      << this->ErrorOutput;
  this->setFaults(PlatformMode::Down);
  EXPECT_EQ(this->run({"preset", "show"}), ExitCode::Unavailable);
  this->setFaults(PlatformMode::Up);
  this->Sample["accounts"][0]["weight"] = 1;
  this->B.Answers.clear();
  EXPECT_EQ(this->apply(this->Sample), ExitCode::Unavailable);
  EXPECT_NE(this->ErrorOutput.find(this->B.address().str() + " has not got it"),
            std::string::npos)
      << this->ErrorOutput;
  this->Options.AdminAddresses.emplace_back("127.0.0.1:1");
  EXPECT_EQ(this->run({"warnings"}), ExitCode::Unavailable);
  for (const Cli::Arguments &Words : std::vector<Cli::Arguments>{
           {}, {"jump"}, {"job"}, {"job", "show"}, {"status", "now"}})
    EXPECT_EQ(this->run(Words), ExitCode::Usage);
}

// Guards against a host that keeps using a drained worker because only another
// host received the request.
TEST_F(CliTest, DrainIsSentToEveryHost) {
  EXPECT_EQ(this->run({"drain", "worker", "w1"}), ExitCode::Failure);
  this->B.Answers["/v1/admin/drain"] = [] { return std::string("{}"); };
  EXPECT_EQ(this->run({"drain", "worker", "w1"}), ExitCode::Ok)
      << this->ErrorOutput;
  this->A.Answers["/v1/admin/drain"] = [] { return std::string("{}"); };
  for (FakeHost *Host : {&this->A, &this->B})
    Host->Calls.clear();
  EXPECT_EQ(this->run({"drain", "worker", "w1"}), ExitCode::Ok)
      << this->ErrorOutput;
  for (FakeHost *Host : {&this->A, &this->B})
    EXPECT_EQ(Host->Calls,
              (std::vector<std::string>{
                  R"(POST /v1/admin/drain{"draining":true,"worker":"w1"})"}));
  EXPECT_EQ(this->run({"drain", "host"}), ExitCode::Usage);
}

// Guards against events in order of arrival, where an effect on one host could
// come before its cause on another.
TEST_F(CliTest, TimelineIsOrderedByTheHybridLogicalClock) {
  auto Event = [](const char *Host, int64_t Physical, int64_t Logical,
                  const char *Name, const char *Phase) {
    return json({{"host", Host},
                 {"sequence", 1},
                 {"hlc_physical_us", 1700000000000000 + Physical},
                 {"hlc_logical", Logical},
                 {"name", Name},
                 {"category", "jobs"},
                 {"subject", "j1"},
                 {"phase", Phase},
                 {"args", {{"k", "v"}}}})
               .dump() +
           "\n";
  };
  this->A.Answers["/v1/admin/timeline"] = [&] {
    return Event("a", 20, 0, "third", "E") + Event("a", 10, 0, "first", "B") +
           "not an event\n";
  };
  this->B.Answers["/v1/admin/timeline"] = [&] {
    return Event("b", 10, 2, "second", "i");
  };
  ASSERT_EQ(this->run({"timeline"}), ExitCode::Ok) << this->ErrorOutput;
  json Trace = json::parse(this->Output);
  std::vector<std::string> Names;
  double LastTime = -1;
  for (const json &Record : Trace["traceEvents"]) {
    if (Record["ph"] == "M")
      continue;
    Names.push_back(Record["name"]);
    EXPECT_GT(Record["ts"].get<double>(), LastTime);
    LastTime = Record["ts"];
    EXPECT_EQ(Record["args"]["k"], "v");
  }
  EXPECT_EQ(Names, (std::vector<std::string>{"first", "second", "third"}));
  EXPECT_EQ(Trace["otherData"]["start_us"], "1700000000000010");
}

// Guards against flags and exit codes of the program that differ from its help
// text. Runs the program as a process.
TEST(CliProcessTest, FlagsAndExitCodes) {
  TemporaryFolder Folder;
  struct Case {
    std::vector<std::string> Words;
    int Code;
    const char *Output;
  };
  const std::string Sample = std::string(SAMPLES_DIR) + "/configuration.json";
  int Number = 0;
  for (const Case &C : std::vector<Case>{
           {{"--help"}, 0, "configuration apply FILE"},
           {{"job", "show", "--help"},
            0,
            "usage: vanillayard [FLAGS] job show"},
           {{"configuration", "check", Sample}, 0, "valid, 2 accounts"},
           {{"--frobnicate", "status"}, 2, "unknown"},
           {{"--wait=soon", "status"}, 2, "--wait"},
           {{"nothing"}, 2, "preset set NAME"},
           {{"--admin", "127.0.0.1:1", "--admin=127.0.0.1:2", "--json",
             "status"},
            4,
            "127.0.0.1:2"}}) {
    auto Started =
        Process::start(Process::program("vanillayard"), C.Words,
                       Folder.file("run" + std::to_string(++Number)));
    ASSERT_TRUE(Started.ok()) << Started.status();
    auto Code = (*Started)->waitForExit(absl::Seconds(30));
    ASSERT_TRUE(Code.ok()) << Code.status();
    EXPECT_EQ(*Code, C.Code) << (*Started)->output();
    EXPECT_NE((*Started)->output().find(C.Output), std::string::npos)
        << (*Started)->output();
  }
}
