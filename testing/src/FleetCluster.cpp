#include "testing/FleetCluster.h"

#include <cstdlib>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace vanillayard {

using Json = nlohmann::json;

/// Limit of a wait for a state, far above the expected time because other
/// programs may load the machine.
static constexpr absl::Duration Limit = absl::Seconds(40);
static constexpr absl::Duration CallTimeout = absl::Seconds(5);
static constexpr absl::Duration PollInterval = absl::Milliseconds(50);
static constexpr char ApiKey[] = "key-of-windhoek";

absl::StatusOr<std::unique_ptr<FleetCluster>>
FleetCluster::start(int HostCount, int Workers, absl::Duration TaskTime,
                    std::string HostSettings) {
  auto Cluster = std::make_unique<FleetCluster>();
  Cluster->HostSettings = std::move(HostSettings);
  auto Platform =
      Process::start(Process::program("standin-fleet"),
                     {fmt::format("--workers={}", Workers),
                      "--task_time=" + absl::FormatDuration(TaskTime)},
                     Cluster->Folder.file("platform.log"));
  if (!Platform.ok())
    return Platform.status();
  Cluster->Platform = *std::move(Platform);
  auto Addresses =
      Cluster->Platform->waitForListening(static_cast<size_t>(Workers) + 1);
  if (!Addresses.ok())
    return Addresses.status();
  Cluster->Store = Addresses->front().Address;
  for (int I = 0; I < HostCount; ++I)
    if (absl::Status Status = Cluster->startHost(); !Status.ok())
      return Status;
  if (!Cluster->writeConfiguration(1))
    return absl::UnavailableError(
        "the stand-in did not accept the configuration");
  auto AllReady = [&] {
    for (size_t I = 0; I < Cluster->hostCount(); ++I)
      if (!Cluster->isReady(I))
        return false;
    return true;
  };
  for (absl::Time End = absl::Now() + Limit; !AllReady();) {
    if (absl::Now() > End)
      return absl::DeadlineExceededError(
          "expected all hosts to become ready, at least one is not");
    Cluster->Caller.runFor(PollInterval);
  }
  return Cluster;
}

absl::Status FleetCluster::startHost() {
  std::string Name = fmt::format("e{}", this->Hosts.size() + 1);
  std::string Settings = this->Folder.write(
      Name + ".conf",
      fmt::format("node={}\nlisten.frontend=127.0.0.1:0\n"
                  "listen.ready=127.0.0.1:0\nplatform.address={}\n"
                  "bounds.grace-s=6\nbounds.hold-max-ms=6000\n{}",
                  Name, this->Store.str(), this->HostSettings));
  ::setenv("VANILLAYARD_SETTINGS", Settings.c_str(), 1);
  auto Program = Process::start(Process::program("vanillayardd"),
                                {"--platform"}, this->Folder.file(Name));
  if (!Program.ok())
    return Program.status();
  Host Started{*std::move(Program), {}, {}};
  auto Addresses = Started.Program->waitForListening(2);
  if (!Addresses.ok())
    return Addresses.status();
  Started.CallerAddress = (*Addresses)[0].Address;
  Started.ReadyAddress = (*Addresses)[1].Address;
  this->Hosts.push_back(std::move(Started));
  return absl::OkStatus();
}

bool FleetCluster::writeConfiguration(int Version) {
  Json Queue = {{"name", "renders"},       {"host", "yard.example"},
                {"prefix", "/renders/"},   {"timeout-ms", 3000},
                {"priority", 1},           {"service", "pool"},
                {"max-attempts", 3},       {"stretch", 3.0},
                {"target-latency-ms", 500}};
  Json Account = {{"name", "windhoek"}, {"api-keys", {ApiKey}}};
  Json Document = {{"version", Version},
                   {"routes", Json::array({Queue})},
                   {"tenants", Json::array({Account})}};
  HttpRequest Request;
  Request.Method = "PUT";
  Request.Path = "/standin/configuration";
  Request.Body = Document.dump();
  auto Answer = this->Caller.call(this->Store, Request, CallTimeout);
  return Answer.ok() && Answer->Status == 200;
}

HttpResponse FleetCluster::call(size_t Index, const std::string &Method,
                                const std::string &JobId,
                                const std::string &Body) {
  HttpRequest Request;
  Request.Method = Method;
  Request.Path = "/renders/" + JobId;
  Request.Authority = "yard.example";
  Request.Headers.add("authorization", fmt::format("Token {}", ApiKey));
  Request.Headers.add("vanillayard-deadline-milliseconds", "3000");
  Request.Body = Body;
  auto Answer =
      this->Caller.call(this->Hosts[Index].CallerAddress, Request, CallTimeout);
  return Answer.ok()
             ? *Answer
             : HttpResponse{0, {}, std::string(Answer.status().message())};
}

HttpResponse FleetCluster::submitJob(size_t Index, const std::string &JobId,
                                     int Tasks, int Accelerators) {
  Json Step = {{"count", Tasks},
               {"cpu", 1000},
               {"mem-mb", 1000},
               {"gpu", Accelerators},
               {"estimate-ms", 300}};
  Json Body = {{"specification", "test"}, {"steps", Json::array({Step})}};
  return this->call(Index, "POST", JobId, Body.dump());
}

std::string FleetCluster::readJobState(size_t Index, const std::string &JobId) {
  HttpResponse Answer = this->call(Index, "GET", JobId);
  Json Body = Json::parse(Answer.Body, nullptr, false);
  if (Answer.Status != 200 || !Body.is_object())
    return "";
  return Body.value("state", "");
}

bool FleetCluster::waitForState(size_t Index, const std::string &JobId,
                                const std::string &State) {
  for (absl::Time End = absl::Now() + Limit; absl::Now() < End;) {
    if (this->readJobState(Index, JobId) == State)
      return true;
    this->Caller.runFor(PollInterval);
  }
  return false;
}

bool FleetCluster::waitForWaitingJobs(size_t Index, int Count) {
  std::string Expected = fmt::format(R"({{"waiting":{}}})", Count);
  for (absl::Time End = absl::Now() + Limit; absl::Now() < End;) {
    if (this->call(Index, "GET", "").Body == Expected)
      return true;
    this->Caller.runFor(PollInterval);
  }
  return false;
}

bool FleetCluster::isReady(size_t Index) {
  auto Answer =
      this->Caller.get(this->Hosts[Index].ReadyAddress, "/vanillayard/ready");
  return Answer.ok() && Answer->Status == 200;
}

size_t FleetCluster::leaderIndex() {
  for (size_t I = 0; I < this->Hosts.size(); ++I) {
    if (this->process(I).exitCode())
      continue;
    std::string Output = this->process(I).output();
    size_t Gained = Output.rfind("this host is the leader");
    size_t Lost = Output.rfind("no longer the leader");
    bool IsLeader = Gained != std::string::npos &&
                    (Lost == std::string::npos || Lost < Gained);
    if (IsLeader)
      return I;
  }
  return this->Hosts.size();
}

int64_t FleetCluster::countStartedRuns() {
  auto Answer = this->Caller.get(this->Store, "/standin/runs");
  if (!Answer.ok())
    return -1;
  Json Body = Json::parse(Answer->Body, nullptr, false);
  return Body.is_object() ? Body.value("begun", int64_t(-1)) : -1;
}

void FleetCluster::showOutput() const {
  this->Platform->showOutput();
  for (const Host &Entry : this->Hosts)
    Entry.Program->showOutput();
}

} // namespace vanillayard
