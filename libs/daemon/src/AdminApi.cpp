#include "AdminApi.h"

#include "DaemonImpl.h"
#include "base/ErrorKind.h"
#include "base/JsonText.h"
#include "endpoint/WorkerTypes.h"
#include "net/ProblemDetails.h"
#include "observe/Counter.h"
#include "observe/Gauge.h"
#include "observe/WarningCondition.h"
#include "peer/PeerHost.h"
#include "peer/PeerTraffic.h"
#include "requests/RequestCounters.h"

#include "absl/strings/numbers.h"

#include <nlohmann/json.hpp>

namespace vanillayard {

using Json = nlohmann::json;

static constexpr std::string_view AdminPrefix = "/v1/admin";

static HttpResponse jsonResponse(const Json &Document, int Status = 200) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Headers.add("Content-Type", "application/json");
  Response.Body = Document.dump(-1, ' ', false, Json::error_handler_t::replace);
  return Response;
}

static HttpResponse textResponse(std::string Body, const char *Type) {
  HttpResponse Response;
  Response.Headers.add("Content-Type", Type);
  Response.Body = std::move(Body);
  return Response;
}

static void respondNotFound(const std::shared_ptr<HttpResponder> &Responder) {
  Responder->respond(problemResponse(
      makeError(ErrorKind::NotFound, "there is no such resource")));
}

void AdminApi::handle(const HttpRequest &Request,
                      const std::shared_ptr<HttpResponder> &Responder) {
  if (Request.Method == "GET")
    this->handleGet(Request, Responder);
  else if (Request.Method == "POST")
    this->handlePost(Request, Responder);
  else
    respondNotFound(Responder);
}

void AdminApi::handleGet(const HttpRequest &Request,
                         const std::shared_ptr<HttpResponder> &Responder) {
  const std::string &Path = Request.Path;
  if (Path == "/metrics") {
    this->refreshMetrics();
    return Responder->respond(textResponse(this->Host.Registry.exposition(),
                                           "text/plain; version=0.0.4"));
  }
  if (Path == "/healthz")
    return Responder->respond({this->Host.isReady() ? 200 : 503,
                               {},
                               this->Host.isReady() ? "ready\n" : "no\n"});
  if (Path == "/v1/admin/status")
    return Responder->respond(jsonResponse(this->status()));
  if (Path == "/v1/admin/warnings")
    return Responder->respond(jsonResponse(this->warnings()));
  if (Path == "/v1/admin/jobs")
    return this->listJobs(Responder);
  if (Path == "/v1/admin/timeline") {
    uint64_t Since = 0;
    (void)absl::SimpleAtoi(Request.queryValue("since"), &Since);
    return Responder->respond(textResponse(
        this->Host.Events.jsonLinesSince(Since), "application/x-ndjson"));
  }
  if (Path.starts_with("/v1/admin/jobs/")) {
    HttpRequest Forwarded = Request;
    Forwarded.Path = Path.substr(0, 3) + Path.substr(AdminPrefix.size());
    return this->Host.JobHandler->handle(Forwarded, Responder);
  }
  respondNotFound(Responder);
}

void AdminApi::handlePost(const HttpRequest &Request,
                          const std::shared_ptr<HttpResponder> &Responder) {
  const std::string &Path = Request.Path;
  if (Path == "/v1/admin/drain")
    return this->drain(Request, Responder);
  if (Path.starts_with("/v1/admin/jobs/")) {
    HttpRequest Forwarded = Request;
    Forwarded.Path = Path.substr(0, 3) + Path.substr(AdminPrefix.size());
    return this->Host.JobHandler->handle(Forwarded, Responder);
  }
  respondNotFound(Responder);
}

void AdminApi::listJobs(const std::shared_ptr<HttpResponder> &Responder) {
  this->Host.Jobs->list(
      ClientAccountId(),
      [Responder](const absl::StatusOr<std::vector<StoredJob>> &Jobs) {
        if (!Jobs.ok())
          return Responder->respond(problemResponse(Jobs.status()));
        Json Document = Json::array();
        for (const StoredJob &Job : *Jobs)
          Document.push_back(
              Json::parse(JobApi::toJson(Job.Record), nullptr, false));
        Responder->respond(jsonResponse({{"jobs", std::move(Document)}}));
      });
}

void AdminApi::drain(const HttpRequest &Request,
                     const std::shared_ptr<HttpResponder> &Responder) {
  Json Body = parseUntrustedJson(Request.Body);
  bool IsHost = Body.is_object() && Body.value("host", Json()) == Json(true);
  bool IsWorker = Body.is_object() && Body.contains("worker") &&
                  Body["worker"].is_string() && Body.contains("draining") &&
                  Body["draining"].is_boolean();
  if (IsHost) {
    Responder->respond(jsonResponse({{"state", "leaving"}}, 202));
    this->Host.Output.info("daemon", "drain requested by an operator");
    this->Host.shutDown([] {});
    return;
  }
  if (!IsWorker)
    return Responder->respond(problemResponse(makeError(
        ErrorKind::InvalidRequest, "expected {\"host\":true} or {\"worker\":ID,"
                                   "\"draining\":true|false}")));
  WorkerId Worker(Body["worker"].get<std::string>());
  if (!this->Host.Monitor->setDraining(Worker, Body["draining"].get<bool>()))
    return Responder->respond(problemResponse(
        makeError(ErrorKind::NotFound, "no such worker in this data centre")));
  Responder->respond(
      jsonResponse({{"worker", Worker.str()}, {"draining", Body["draining"]}}));
}

Json AdminApi::peers() const {
  Json Result = Json::array();
  for (const PeerHost &Peer : this->Host.Peers->hosts())
    Result.push_back({{"host", Peer.Host.str()},
                      {"data_centre", Peer.DataCentre.str()},
                      {"address", Peer.Address.str()},
                      {"state", PeerStateNames.nameOf(Peer.State)},
                      {"generation", Peer.Generation}});
  return Result;
}

Json AdminApi::workers() const {
  Json Result = Json::array();
  for (const WorkerView &View : this->Host.Monitor->allViews())
    Result.push_back(
        {{"worker", View.Worker.str()},
         {"rack", View.Rack.str()},
         {"address", View.Address.str()},
         {"slots", View.TotalSlots},
         {"free_slots", View.FreeSlots},
         {"accelerators", View.Accelerators},
         {"draining", View.Draining},
         {"ejected", View.Ejected},
         {"polled_here", this->Host.Peers->isPollingHost(View.Worker)}});
  return Result;
}

Json AdminApi::queues() const {
  const RequestCounters &Counters = this->Host.Requests->counters();
  PlannerTask::JobCounts Jobs = this->Host.Planner->counts();
  return {{"requests_queued", this->Host.Requests->queuedCount()},
          {"requests_live", this->Host.Requests->unfinishedCount()},
          {"queue_delay_ms",
           absl::ToInt64Milliseconds(this->Host.Requests->queueDelay())},
          {"requests_answered", Counters.Answered},
          {"requests_failed", Counters.Failed},
          {"jobs_queued", Jobs.Queued},
          {"jobs_running", Jobs.Running},
          {"jobs_other", Jobs.Other}};
}

Json AdminApi::warnings() const {
  Json Result = Json::array();
  for (const Warning &Raised : this->Host.Warnings.activeWarnings()) {
    const WarningRule &Rule = warningRuleFor(Raised.Key.Condition);
    Result.push_back({{"condition", Rule.Name},
                      {"subject", Raised.Key.Subject},
                      {"detail", Raised.Detail},
                      {"action", Rule.Action},
                      {"since_ms", absl::ToUnixMillis(Raised.Since)}});
  }
  return Result;
}

Json AdminApi::guarantees() const {
  Json Result = Json::array();
  for (const PlannerReport::Guarantee &Item :
       this->Host.Planner->report().Guarantees)
    Result.push_back({{"account", Item.Account.str()},
                      {"accelerators_per_cell", Item.AcceleratorsPerCell},
                      {"workers", Item.Workers},
                      {"count", Item.Count},
                      {"in_use", Item.InUse}});
  return Result;
}

Json AdminApi::holdings() const {
  Json Result = Json::array();
  for (const PlannerReport::AccountUsage &Item :
       this->Host.Planner->report().AccountUsages)
    Result.push_back({{"account", Item.Account.str()},
                      {"accelerators", Item.Accelerators},
                      {"borrowed", Item.Borrowed}});
  return Result;
}

Json AdminApi::accelerators() const {
  PlannerReport Report = this->Host.Planner->report();
  return {{"total", Report.Accelerators},
          {"free", Report.FreeAccelerators},
          {"unmet_guarantees", Report.UnmetAccelerators},
          {"largest_gang", Report.LargestGang},
          {"largest_packed_gang", Report.LargestPackedGang}};
}

Json AdminApi::status() const {
  const Daemon::Impl &H = this->Host;
  std::string State = H.IsLeaving       ? "leaving"
                      : H.ConfigInForce ? "live"
                                        : "starting";
  return {
      {"host", H.Options.Host.str()},
      {"data_centre", H.Options.DataCentre.str()},
      {"region", H.Options.Region},
      {"state", State},
      {"generation", H.ConfigInForce ? H.ConfigInForce->Generation : 0},
      {"preset", H.ConfigInForce ? H.ConfigInForce->PresetInForce.str() : ""},
      {"is_planner", H.Planner->isActive()},
      {"incarnation", H.Incarnation},
      {"peers", this->peers()},
      {"workers", this->workers()},
      {"queues", this->queues()},
      {"guarantees", this->guarantees()},
      {"holdings", this->holdings()},
      {"accelerators", this->accelerators()},
      {"fragmentation", H.Planner->report().Fragmentation},
      {"warnings", this->warnings()}};
}

void AdminApi::refreshMetrics() {
  Metrics &M = this->Host.Registry;
  const RequestCounters &C = this->Host.Requests->counters();
  auto Set = [&M](const char *Name, const char *Help, double Value) {
    M.gauge(Name, Help).set(Value);
  };
  Set("vanillayard_requests_submitted", "Short requests taken",
      static_cast<double>(C.Submitted));
  Set("vanillayard_requests_answered", "Short requests answered",
      static_cast<double>(C.Answered));
  Set("vanillayard_requests_failed", "Short requests answered with an error",
      static_cast<double>(C.Failed));
  Set("vanillayard_requests_attempts", "Attempts on workers",
      static_cast<double>(C.Attempts));
  Set("vanillayard_requests_retries", "Retries on workers",
      static_cast<double>(C.Retries));
  Set("vanillayard_requests_forwarded", "Requests forwarded to a peer",
      static_cast<double>(C.Forwarded));
  Set("vanillayard_requests_queued", "Short requests in the queue",
      static_cast<double>(this->Host.Requests->queuedCount()));
  Set("vanillayard_queue_delay_seconds", "Wait of a new short request",
      absl::ToDoubleSeconds(this->Host.Requests->queueDelay()));
  Set("vanillayard_configuration_generation", "Generation in force",
      static_cast<double>(
          this->Host.ConfigInForce ? this->Host.ConfigInForce->Generation : 0));
  Set("vanillayard_is_planner", "1 if this host is the planner",
      this->Host.Planner->isActive() ? 1 : 0);
  const PeerTraffic &T = this->Host.Peers->traffic();
  Set("vanillayard_peer_bytes_sent", "Bytes sent to other entry hosts",
      static_cast<double>(T.HeartbeatBytesSent + T.OtherBytesSent));
  Set("vanillayard_peer_bytes_received",
      "Bytes received from other entry hosts",
      static_cast<double>(T.HeartbeatBytesReceived + T.OtherBytesReceived));
}

} // namespace vanillayard
