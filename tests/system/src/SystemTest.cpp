#include "SystemTest.h"

#include "base/Digest.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace vanillayard {

using nlohmann::json;

static constexpr absl::Duration CheckInterval = absl::Milliseconds(20);
static constexpr absl::Duration StatusTimeout = absl::Seconds(5);

std::string SystemTest::sampleConfiguration() {
  std::ifstream File(VANILLAYARD_SAMPLES "/configuration.json");
  std::stringstream Text;
  Text << File.rdbuf();
  json Document = parseObject(Text.str());
  for (json &Account : Document["accounts"])
    Account["guarantees"] = json::array();
  return Document.dump();
}

void SystemTest::startCluster(Cluster::Builder Options) {
  std::signal(SIGPIPE, SIG_IGN);
  auto Built = Options.configuration(sampleConfiguration()).build();
  ASSERT_TRUE(Built.ok()) << Built.status();
  this->TestCluster = std::move(*Built);
  // A host reports ready before its first poll of the workers.
  ASSERT_TRUE(this->waitUntil([&] {
    for (size_t Host = 0; Host < this->TestCluster->hostCount(); ++Host) {
      json Status = this->adminStatus(Host);
      bool HasWorkers = !Status.value("workers", json::array()).empty();
      for (const json &Worker : Status.value("workers", json::array()))
        HasWorkers = HasWorkers && Worker.value("slots", 0) > 0;
      if (!HasWorkers)
        return false;
    }
    return true;
  })) << "expected every host to list its workers with at least one slot";
}

static HttpRequest shortRequest(const char *Account, const char *Kind,
                                const std::string &Body) {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Path = "/v1/requests";
  Request.Headers.add("Vanillayard-Account", Account);
  Request.Headers.add("Vanillayard-Caller", "counter 1");
  Request.Headers.add("Vanillayard-Kind", Kind);
  Request.Headers.add("Vanillayard-Deadline-Ms", "20000");
  Request.Body = Body;
  return Request;
}

HttpRequest SystemTest::priceCheck(const std::string &Body) {
  HttpRequest Request = shortRequest("kalahari", "price-check", Body);
  Request.Headers.add("Vanillayard-Repeatable", "true");
  return Request;
}

HttpRequest SystemTest::quickProof(const std::string &Body,
                                   const std::string &Key) {
  HttpRequest Request = shortRequest("swanbag", "quick-proof", Body);
  Request.Headers.add("Vanillayard-Repeatable", "false");
  Request.Headers.add("Idempotency-Key", Key);
  return Request;
}

HttpResponse SystemTest::send(size_t Host, HttpRequest Request) {
  auto Response = this->TestCluster->http().call(
      this->TestCluster->host(Host).Caller, std::move(Request));
  return Response.ok()
             ? std::move(*Response)
             : HttpResponse{0, {}, std::string(Response.status().message())};
}

std::string SystemTest::describe(const HttpResponse &Answer) {
  if (Answer.Status == 0)
    return "no answer";
  if (Answer.Status < 300)
    return std::to_string(Answer.Status);
  json Problem = parseObject(Answer.Body);
  return fmt::format("{} {} {}", Answer.Status, Problem.value("kind", ""),
                     Problem.value("execution", ""));
}

json SystemTest::parseObject(const std::string &Text) {
  json Document = json::parse(Text, nullptr, /*allow_exceptions=*/false);
  return Document.is_object() ? Document : json::object();
}

bool SystemTest::waitUntil(const std::function<bool()> &Done,
                           absl::Duration Longest) {
  TestHttpClient &Http = this->TestCluster->http();
  absl::Time End = Http.loop().now() + Longest;
  while (!Done()) {
    if (Http.loop().now() >= End)
      return false;
    Http.runFor(CheckInterval);
  }
  return true;
}

json SystemTest::adminStatus(size_t Host) {
  HttpRequest Request;
  Request.Path = "/v1/admin/status";
  auto Answer = this->TestCluster->http().call(
      this->TestCluster->host(Host).Admin, Request, StatusTimeout);
  return Answer.ok() ? parseObject(Answer->Body) : json::object();
}

int64_t SystemTest::configurationGeneration(size_t Host) {
  return this->adminStatus(Host).value("generation", int64_t{0});
}

size_t SystemTest::waitForPlanner() {
  size_t Planner = 0;
  bool Found = this->waitUntil([&] {
    int Planners = 0;
    for (size_t Host = 0; Host < this->TestCluster->hostCount(); ++Host) {
      if (this->TestCluster->host(Host).DataCentre.str() != "dc1" ||
          !this->adminStatus(Host).value("is_planner", false))
        continue;
      Planner = Host;
      ++Planners;
    }
    return Planners == 1;
  });
  EXPECT_TRUE(Found) << "expected exactly one planner among the hosts of dc1";
  return Planner;
}

json SystemTest::gangJob(int Members, const std::string &Body) {
  return {{"account", "kalahari"},
          {"caller", "render farm"},
          {"kind", "cut-sheet"},
          {"repeatable", false},
          {"gang_size", Members},
          {"accelerators_per_member", 8},
          {"adjacency", "data_centre"},
          {"declared_run_time_ms", 5000},
          {"body", Body}};
}

std::string SystemTest::submit(size_t Host, const json &Job,
                               const std::string &Key) {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Path = "/v1/jobs";
  Request.Headers.add("Idempotency-Key", Key);
  Request.Body = Job.dump();
  HttpResponse Answer;
  bool Accepted = this->waitUntil([&] {
    Answer = this->send(Host, Request);
    return Answer.Status == 202;
  });
  EXPECT_TRUE(Accepted) << Key << ": " << Answer.Status << " " << Answer.Body;
  return parseObject(Answer.Body).value("id", "");
}

json SystemTest::waitForJobEnd(size_t Host, const std::string &Id) {
  static const std::vector<std::string> FinalStates = {
      "finished",   "failed",          "cancelled",
      "never_fits", "outcome_unknown", "deadline_expired"};
  HttpRequest Request;
  Request.Path = "/v1/jobs/" + Id;
  Request.Query = "wait_ms=500";
  json Job = json::object();
  bool Ended = this->waitUntil([&] {
    Job = parseObject(this->send(Host, Request).Body);
    return std::count(FinalStates.begin(), FinalStates.end(),
                      Job.value("state", "")) > 0;
  });
  EXPECT_TRUE(Ended) << "expected a final state of the job, found: " << Job;
  return Job;
}

std::vector<json> SystemTest::runsWithBody(const std::string &Body) {
  auto All = this->TestCluster->readExecutions();
  EXPECT_TRUE(All.ok()) << All.status();
  std::vector<json> Runs;
  std::string Digest = sha256Hex(Body);
  if (All.ok())
    for (json &Run : *All)
      if (Run["body_digest"] == Digest)
        Runs.push_back(std::move(Run));
  return Runs;
}

size_t SystemTest::countRunning(const std::string &Body) {
  size_t Running = 0;
  for (const json &Run : this->runsWithBody(Body))
    Running += Run["state"] == "running";
  return Running;
}

void SystemTest::setPlatformFaults(const std::string &Faults) {
  auto Answer = this->TestCluster->http().post(this->TestCluster->platform(),
                                               "/v1/faults", Faults);
  ASSERT_TRUE(Answer.ok()) << Answer.status();
  ASSERT_EQ(Answer->Status, 200) << Answer->Body;
}

} // namespace vanillayard
