#include "standin_platform/PlatformService.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace vanillayard {

using nlohmann::json;

static void answerJson(HttpResponder &Responder, int Status, std::string Body) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Headers.add("Content-Type", "application/json");
  Response.Body = std::move(Body);
  Responder.respond(std::move(Response));
}

/// Answers with an error in the format of the etcd JSON gateway.
static void answerError(HttpResponder &Responder, int Status, int GrpcCode,
                        const std::string &Message) {
  answerJson(
      Responder, Status,
      json({{"error", Message}, {"code", GrpcCode}, {"message", Message}})
          .dump(-1, ' ', true, json::error_handler_t::replace));
}

static int httpStatusOf(const absl::Status &Status) {
  return absl::IsNotFound(Status) ? 404 : 400;
}

static void answerStatus(HttpResponder &Responder, const absl::Status &Status) {
  if (Status.ok())
    answerJson(Responder, 200, "{}");
  else
    answerError(Responder, httpStatusOf(Status),
                static_cast<int>(Status.code()), std::string(Status.message()));
}

static void answerUnavailable(HttpResponder &Responder) {
  static constexpr int GrpcUnavailable = 14;
  answerError(Responder, 503, GrpcUnavailable, "etcdserver: no leader");
}

/// Aborts the connection instead of answering.
static void abortConnection(HttpResponder &Responder) {
  Responder.beginStream(HttpResponse());
  Responder.end(/*Abort=*/true);
}

PlatformService::PlatformService(Executor &Exec, absl::Duration HostListLag)
    : Exec(Exec), Leases(Exec, this->State), Gateway(this->State, this->Leases),
      Hosts(Exec, HostListLag) {
  this->State.onCommit([this](const std::vector<KeyEvent> &Events) {
    this->notifyWatches(Events);
  });
}

PlatformService::~PlatformService() {
  *this->Alive = false;
}

HttpHandler PlatformService::handler() {
  return [this](const HttpRequest &Request, const ResponderRef &Responder) {
    this->handle(Request, Responder);
  };
}

void PlatformService::handle(const HttpRequest &Request,
                             const ResponderRef &Responder) {
  bool IsHosts = Request.Path == "/v1/hosts";
  bool IsKeyValue = Request.Path.compare(0, 4, "/v3/") == 0;
  if (Request.Path == "/v1/faults")
    return this->handleFaults(Request, Responder);
  if (Request.Path == "/v1/counters")
    return this->handleCounters(Responder);
  if (!IsHosts && !IsKeyValue)
    return answerStatus(*Responder, absl::NotFoundError("no such path"));
  // Setting the host list is not a call of the platform's API, so faults and
  // counters do not apply.
  if (IsHosts && Request.Method == "PUT")
    return answerStatus(*Responder, this->Hosts.put(Request.Body));
  ++this->Counters[Request.Path.substr(Request.Path.rfind('/') + 1)];
  bool HasFaults = IsKeyValue || this->Faults.IncludesHostList;
  if (HasFaults && this->Faults.Mode == PlatformMode::Down)
    return answerUnavailable(*Responder);
  if (HasFaults && this->Faults.Mode == PlatformMode::Hang) {
    this->HangingCalls.push_back(Responder);
    return;
  }
  auto Run = [this, Request, Responder, IsHosts, Token = this->Alive] {
    if (!*Token)
      return;
    if (IsHosts)
      this->handleHosts(Request, Responder);
    else
      this->handleKeyValue(Request, Responder);
  };
  if (HasFaults && this->Faults.Mode == PlatformMode::Slow)
    this->Exec.runAfter(this->Faults.Delay, Run);
  else
    Run();
}

void PlatformService::handleHosts(const HttpRequest &,
                                  const ResponderRef &Responder) {
  answerJson(*Responder, 200, this->Hosts.get());
}

void PlatformService::handleKeyValue(const HttpRequest &Request,
                                     const ResponderRef &Responder) {
  if (Request.Path == "/v3/watch")
    this->openWatch(Request, Responder);
  else
    this->callKeyValue(Request, Responder);
}

// Returns true if the answer to the call is to be lost, and counts it. Answers
// to reads are not lost.
bool PlatformService::consumeLostAnswer(const std::string &Path) {
  if (this->Faults.Mode != PlatformMode::LoseAnswers || Path == "/v3/kv/range")
    return false;
  if (this->Faults.LoseCount > 0 && --this->Faults.LoseCount == 0)
    this->Faults.Mode = PlatformMode::Up;
  return true;
}

void PlatformService::callKeyValue(const HttpRequest &Request,
                                   const ResponderRef &Responder) {
  json Body = json::parse(Request.Body, nullptr, /*allow_exceptions=*/false);
  int64_t StaleBy = this->Faults.Mode == PlatformMode::Stale
                        ? this->Faults.StaleRevisions
                        : 0;
  absl::StatusOr<json> Result = this->Gateway.call(Request.Path, Body, StaleBy);
  if (this->consumeLostAnswer(Request.Path))
    abortConnection(*Responder);
  else if (Result.ok())
    answerJson(*Responder, 200, Result->dump());
  else
    answerStatus(*Responder, Result.status());
}

void PlatformService::openWatch(const HttpRequest &Request,
                                const ResponderRef &Responder) {
  json Body = json::parse(Request.Body, nullptr, /*allow_exceptions=*/false);
  auto Parsed = this->Gateway.parseWatch(Body);
  if (!Parsed.ok())
    return answerStatus(*Responder, Parsed.status());
  HttpResponse Head;
  Head.Headers.add("Content-Type", "application/json");
  Responder->beginStream(std::move(Head));
  json Created = this->Gateway.watchCreated(*Parsed);
  Responder->write(Created.dump() + "\n");
  if (Created["result"].contains("canceled")) {
    Responder->end();
    return;
  }
  Watch Opened{Parsed->Range, Parsed->StartRevision, Responder};
  if (Opened.StartRevision > 0 && !this->Faults.SilenceWatches)
    this->writeEvents(Opened, this->State.eventsSince(Opened.StartRevision));
  this->Watches.push_back(std::move(Opened));
}

void PlatformService::writeEvents(const Watch &To,
                                  const std::vector<KeyEvent> &Events) {
  std::vector<KeyEvent> Matching;
  for (const KeyEvent &Event : Events)
    if (To.Range.contains(Event.After.Key) &&
        Event.After.ModRevision >= To.StartRevision)
      Matching.push_back(Event);
  if (!Matching.empty())
    To.Stream->write(this->Gateway.watchEvents(Matching).dump() + "\n");
}

void PlatformService::notifyWatches(const std::vector<KeyEvent> &Events) {
  this->Watches.erase(
      std::remove_if(this->Watches.begin(), this->Watches.end(),
                     [](const Watch &W) { return W.Stream->isClosed(); }),
      this->Watches.end());
  if (this->Faults.SilenceWatches || this->Faults.Mode == PlatformMode::Hang)
    return;
  for (const Watch &W : this->Watches)
    this->writeEvents(W, Events);
}

void PlatformService::abortWatches() {
  for (const Watch &W : this->Watches)
    W.Stream->end(/*Abort=*/true);
  this->Watches.clear();
}

void PlatformService::setFaults(const PlatformFaults &Value) {
  this->Faults = Value;
  if (Value.Mode != PlatformMode::Hang) {
    for (const ResponderRef &Responder : this->HangingCalls)
      answerUnavailable(*Responder);
    this->HangingCalls.clear();
  }
  if (Value.Mode == PlatformMode::Down || Value.BreakWatches)
    this->abortWatches();
}

void PlatformService::handleFaults(const HttpRequest &Request,
                                   const ResponderRef &Responder) {
  auto Parsed = PlatformFaults::parse(Request.Body);
  if (Parsed.ok())
    this->setFaults(*Parsed);
  answerStatus(*Responder, Parsed.status());
}

void PlatformService::handleCounters(const ResponderRef &Responder) {
  json Result = json::object();
  int64_t Total = 0;
  for (const auto &[Name, Count] : this->Counters) {
    Result[Name] = Count;
    Total += Count;
  }
  Result["total"] = Total;
  Result["revision"] = this->State.revision();
  answerJson(*Responder, 200, Result.dump());
}

} // namespace vanillayard
