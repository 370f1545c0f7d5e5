#include "Demo.h"

#include "DemoRequests.h"
#include "SteadyLoad.h"
#include "base/Digest.h"
#include "standin_worker/TaskBody.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <set>

namespace vanillayard {

using nlohmann::json;

static constexpr absl::Duration JobLimit = absl::Seconds(40);
static constexpr absl::Duration ConfigurationLimit = absl::Seconds(10);
static constexpr absl::Duration RetryPause = absl::Milliseconds(100);
static constexpr int JobWaitMs = 500;

void Demo::run() {
  this->sendPriceChecks();
  this->sendSameKeyThroughTwoHosts();
  this->runGang();
  this->cancelRunningJob();
  this->changePreset();
  this->restartHostsUnderLoad();
  this->printTable();
}

void Demo::printHeading(std::string_view Name) const {
  fmt::print("\n== {}\n", Name);
  std::fflush(stdout);
}

void Demo::check(bool Holds, std::string_view What) {
  fmt::print("{} {}\n", Holds ? "  ok      " : "  MISMATCH", What);
  std::fflush(stdout);
  if (!Holds)
    ++this->Mismatches;
}

HttpResponse Demo::callHost(size_t Host, HttpRequest Request) {
  auto Response = this->DemoCluster.http().call(
      this->DemoCluster.host(Host).Caller, Request);
  if (Response.ok())
    return std::move(*Response);
  return HttpResponse{0, {}, std::string(Response.status().message())};
}

std::vector<json> Demo::runsOf(const std::string &Body) {
  auto All = this->DemoCluster.readExecutions();
  if (!All.ok())
    return {};
  std::vector<json> Runs;
  std::string Digest = sha256Hex(Body);
  for (json &Run : *All)
    if (Run["body_digest"] == Digest)
      Runs.push_back(std::move(Run));
  return Runs;
}

void Demo::sendPriceChecks() {
  this->printHeading("price checks through every host");
  for (size_t Host = 0; Host < this->DemoCluster.hostCount(); ++Host) {
    ShortRequest Request;
    Request.Caller = fmt::format("shop {}", Host + 1);
    Request.Kind = "price-check";
    CallerRow &Row = this->Table.row(Request.Caller, Request.Kind);
    for (int I = 0; I < 10; ++I) {
      Request.Body = TaskBody::make(absl::Milliseconds(5),
                                    fmt::format("check {}/{}", Host, I));
      ++Row.Sent;
      countAnswer(Row, Request.Body, this->callHost(Host, Request.toHttp()));
    }
    this->check(Row.OwnAnswers == Row.Sent,
                fmt::format("{}: {} of {} answers are its own",
                            this->DemoCluster.host(Host).Name.str(),
                            Row.OwnAnswers, Row.Sent));
  }
}

void Demo::sendUntilAnswered(size_t Host, const ShortRequest &Request,
                             const Answers &Received) {
  auto Done = [this, Host, Request,
               Received](const absl::StatusOr<HttpResponse> &Response) {
    // The request is in progress on the other host: repeat it until the result
    // is available.
    if (Response.ok() && describeError(Response) == "in_progress") {
      this->DemoCluster.http().loop().runAfter(
          RetryPause, [this, Host, Request, Received] {
            this->sendUntilAnswered(Host, Request, Received);
          });
      return;
    }
    countAnswer(this->Table.row(Request.Caller, Request.Kind), Request.Body,
                Response);
    Received->push_back(Response.ok() ? Response->Body : "");
  };
  this->DemoCluster.http().beginCall(this->DemoCluster.host(Host).Caller,
                                     Request.toHttp(), JobLimit, Done);
}

void Demo::sendSameKeyThroughTwoHosts() {
  this->printHeading(
      "a cut-sheet that must not run twice, sent through two hosts");
  ShortRequest Request;
  Request.Caller = "cutting room";
  Request.Kind = "cut-sheet";
  Request.Body = TaskBody::make(absl::Milliseconds(400), "cut-sheet 1", 4000);
  Request.IdempotencyKey = "cut-sheet-1";
  this->Table.row(Request.Caller, Request.Kind).Sent += 2;
  auto Received = std::make_shared<std::vector<std::string>>();
  this->sendUntilAnswered(0, Request, Received);
  this->sendUntilAnswered(1, Request, Received);
  this->DemoCluster.http().runUntil([&] { return Received->size() == 2; },
                                    JobLimit);
  this->check(Received->size() == 2 && Received->front() == Received->back() &&
                  TaskBody::isResultOf(Received->front(), "", Request.Body),
              "both callers got the same complete answer");
  size_t Runs = this->runsOf(Request.Body).size();
  this->check(Runs == 1, fmt::format("it ran {} time(s)", Runs));
}

std::string Demo::submit(const json &Job, const std::string &Key) {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Path = "/v1/jobs";
  Request.Headers.add("Idempotency-Key", Key);
  Request.Body = Job.dump();
  HttpResponse Response = this->callHost(0, Request);
  json Answer = json::parse(Response.Body, nullptr, false);
  bool IsAccepted =
      Response.Status == 202 && Answer.is_object() && Answer["id"].is_string();
  this->check(IsAccepted, fmt::format("job accepted: {} {}", Response.Status,
                                      IsAccepted ? "" : Response.Body));
  return IsAccepted ? Answer["id"].get<std::string>() : "";
}

json Demo::awaitJob(const std::string &Id,
                    const std::vector<std::string> &States) {
  absl::Time End = this->DemoCluster.http().loop().now() + JobLimit;
  json Job = json::object();
  HttpRequest Request;
  Request.Path = "/v1/jobs/" + Id;
  Request.Query = fmt::format("wait_ms={}", JobWaitMs);
  // Any host can answer for any job.
  for (size_t Host = 1; this->DemoCluster.http().loop().now() < End; ++Host) {
    HttpResponse Response =
        this->callHost(Host % this->DemoCluster.hostCount(), Request);
    json Answer = json::parse(Response.Body, nullptr, false);
    if (!Answer.is_object())
      continue;
    Job = std::move(Answer);
    for (const std::string &State : States)
      if (Job["state"] == State)
        return Job;
  }
  return Job;
}

void Demo::runGang() {
  this->printHeading(
      "a gang of 16 accelerators on adjacent workers of one rack");
  std::string Body = TaskBody::make(absl::Milliseconds(1500), "gang");
  std::string Id = this->submit({{"account", "kalahari"},
                                 {"caller", "render farm"},
                                 {"kind", "cut-sheet"},
                                 {"repeatable", true},
                                 {"gang_size", 2},
                                 {"accelerators_per_member", 8},
                                 {"adjacency", "rack"},
                                 {"declared_run_time_ms", 1500},
                                 {"body", Body}},
                                "gang-1");
  if (Id.empty())
    return;
  CallerRow &Row = this->Table.row("render farm", "cut-sheet");
  ++Row.Sent;
  json Job = this->awaitJob(
      Id, {"finished", "failed", "cancelled", "outcome_unknown", "never_fits"});
  this->check(Job["state"] == "finished",
              fmt::format("the job is {}", Job["state"].dump()));
  bool IsOwn = Job["results"].is_array() && Job["results"].size() == 2;
  for (size_t I = 0; IsOwn && I < 2; ++I)
    IsOwn =
        TaskBody::isResultOf(Job["results"][I].get<std::string>(), "", Body);
  this->check(IsOwn, "each member's result is its own");
  Row.OwnAnswers += IsOwn ? 1 : 0;
  std::vector<json> Runs = this->runsOf(Body);
  this->check(Runs.size() == 2, fmt::format("{} members ran", Runs.size()));
  if (Runs.size() != 2)
    return;
  std::set<std::string> Racks;
  for (const WorkerNode &Worker : this->DemoCluster.workers())
    for (const json &Run : Runs)
      if (Run["worker"] == Worker.Name.str())
        Racks.insert(Worker.Rack.str());
  this->check(Racks.size() == 1 && Runs[0]["worker"] != Runs[1]["worker"],
              fmt::format("on {} and {} of {}", Runs[0]["worker"].dump(),
                          Runs[1]["worker"].dump(), *Racks.begin()));
  this->check(Runs[0]["accelerators"].size() == 8 &&
                  Runs[1]["accelerators"].size() == 8,
              "with 8 accelerators each");
  this->check(
      Runs[0].value("started_ms", 0.0) < Runs[1].value("ended_ms", 0.0) &&
          Runs[1].value("started_ms", 0.0) < Runs[0].value("ended_ms", 0.0),
      "at the same time");
}

void Demo::cancelRunningJob() {
  this->printHeading("a cancel of a running job");
  std::string Body = TaskBody::make(absl::Minutes(10), "to be cancelled");
  std::string Id = this->submit({{"account", "swanbag"},
                                 {"caller", "plate room"},
                                 {"kind", "separation"},
                                 {"gang_size", 1},
                                 {"accelerators_per_member", 4},
                                 {"adjacency", "worker"},
                                 {"declared_run_time_ms", 600000},
                                 {"body", Body}},
                                "separation-1");
  if (Id.empty())
    return;
  CallerRow &Row = this->Table.row("plate room", "separation");
  ++Row.Sent;
  this->DemoCluster.http().runUntil([&] { return !this->runsOf(Body).empty(); },
                                    JobLimit);
  HttpRequest Request;
  Request.Method = "POST";
  Request.Path = fmt::format("/v1/jobs/{}/cancel", Id);
  HttpResponse Response =
      this->callHost(this->DemoCluster.hostCount() - 1, Request);
  this->check(Response.Status == 200, "the cancel was accepted by a host of "
                                      "the other data centre");
  json Job = this->awaitJob(Id, {"cancelled"});
  this->check(Job["state"] == "cancelled" && Job["execution"] == "may_have_run",
              fmt::format("the job is {}, execution {}", Job["state"].dump(),
                          Job["execution"].dump()));
  Row.OwnAnswers += Job["state"] == "cancelled" ? 1 : 0;
  bool HasStopped = this->DemoCluster.http().runUntil(
      [&] {
        std::vector<json> Runs = this->runsOf(Body);
        return Runs.size() == 1 && Runs[0]["state"] == "stopped";
      },
      JobLimit);
  this->check(HasStopped, "its task was stopped, after one start");
}

std::string Demo::presetOf(size_t Host) {
  HttpRequest Request;
  Request.Path = "/v1/admin/status";
  auto Response = this->DemoCluster.http().call(
      this->DemoCluster.host(Host).Admin, Request);
  json Answer =
      Response.ok() ? json::parse(Response->Body, nullptr, false) : json();
  return Answer.is_object() ? Answer.value("preset", "") : "";
}

void Demo::changePreset() {
  this->printHeading("a preset change by the command line");
  auto Output = this->DemoCluster.runOperatorCommand({"preset", "set", "peak"});
  this->check(Output.ok(), fmt::format("vanillayard preset set peak: {}",
                                       Output.status().ToString()));
  absl::Time Start = this->DemoCluster.http().loop().now();
  bool IsInForce = this->DemoCluster.http().runUntil(
      [&] {
        for (size_t Host = 0; Host < this->DemoCluster.hostCount(); ++Host)
          if (this->presetOf(Host) != "peak")
            return false;
        return true;
      },
      ConfigurationLimit);
  absl::Duration Elapsed = this->DemoCluster.http().loop().now() - Start;
  this->check(IsInForce,
              fmt::format("seen on every host {:.2f} s after its end",
                          absl::ToDoubleSeconds(Elapsed)));
}

void Demo::restartHostsUnderLoad() {
  this->printHeading("a rolling restart of all hosts under a steady load");
  this->Load = std::make_unique<SteadyLoad>(this->DemoCluster, this->Table);
  SteadyLoad &Load = *this->Load;
  Load.start();
  for (size_t Host = 0; Host < this->DemoCluster.hostCount(); ++Host) {
    absl::Status Restarted = this->DemoCluster.restartHost(Host);
    this->check(Restarted.ok(),
                fmt::format("{} ended with code 0 and is ready again {}",
                            this->DemoCluster.host(Host).Name.str(),
                            Restarted.ToString()));
  }
  this->check(Load.finish(), fmt::format("{} requests sent, all answered; {} "
                                         "were sent again by the load balancer",
                                         Load.sent(), Load.retries()));
  auto All = this->DemoCluster.readExecutions();
  std::map<std::string, int> RunsOfDigest;
  if (All.ok())
    for (const json &Run : *All)
      ++RunsOfDigest[Run.value("body_digest", "")];
  int NotRunOnce = 0;
  for (const std::string &Body : Load.nonRepeatableBodies())
    NotRunOnce += RunsOfDigest[sha256Hex(Body)] != 1;
  this->check(All.ok() && NotRunOnce == 0,
              fmt::format("{} proofs ran exactly once, {} did not",
                          Load.nonRepeatableBodies().size() -
                              static_cast<size_t>(NotRunOnce),
                          NotRunOnce));
}

void Demo::printTable() {
  this->printHeading("answers to each caller");
  fmt::print("{}", this->Table.format());
  this->check(this->Table.isComplete(),
              "every caller got complete answers to its own requests");
}

} // namespace vanillayard
