#include "standin_platform/PlatformService.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace vanillayard {

using nlohmann::json;

static void answerJson(HttpResponder &Answer, int Status, std::string Body) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Headers.add("Content-Type", "application/json");
  Response.Body = std::move(Body);
  Answer.respond(std::move(Response));
}

/// An error as the gateway answers it.
static void answerError(HttpResponder &Answer, int Status, int GrpcCode,
                        const std::string &Message) {
  answerJson(
      Answer, Status,
      json({{"error", Message}, {"code", GrpcCode}, {"message", Message}})
          .dump(-1, ' ', true, json::error_handler_t::replace));
}

static int httpStatusOf(const absl::Status &Status) {
  return absl::IsNotFound(Status) ? 404 : 400;
}

static void answerStatus(HttpResponder &Answer, const absl::Status &Status) {
  if (Status.ok())
    answerJson(Answer, 200, "{}");
  else
    answerError(Answer, httpStatusOf(Status), static_cast<int>(Status.code()),
                std::string(Status.message()));
}

static void answerUnavailable(HttpResponder &Answer) {
  static constexpr int GrpcUnavailable = 14;
  answerError(Answer, 503, GrpcUnavailable, "etcdserver: no leader");
}

/// Cuts the connection instead of answering.
static void cut(HttpResponder &Answer) {
  Answer.beginStream(HttpResponse());
  Answer.end(/*Abort=*/true);
}

PlatformService::PlatformService(Executor &Exec, absl::Duration HostListLag)
    : Exec(Exec), Leases(Exec, this->State), Gateway(this->State, this->Leases),
      Hosts(Exec, HostListLag) {
  this->State.onCommit(
      [this](const std::vector<KeyEvent> &Events) { this->passOn(Events); });
}

PlatformService::~PlatformService() {
  *this->Alive = false;
}

HttpHandler PlatformService::handler() {
  return [this](const HttpRequest &Request, const Responder &Answer) {
    this->handle(Request, Answer);
  };
}

void PlatformService::handle(const HttpRequest &Request,
                             const Responder &Answer) {
  bool IsHosts = Request.Path == "/v1/hosts";
  bool IsKeyValue = Request.Path.compare(0, 4, "/v3/") == 0;
  if (Request.Path == "/v1/faults")
    return this->handleFaults(Request, Answer);
  if (Request.Path == "/v1/counters")
    return this->handleCounters(Answer);
  if (!IsHosts && !IsKeyValue)
    return answerStatus(*Answer, absl::NotFoundError("no such path"));
  // The operator's side of the host list is not part of the platform.
  if (IsHosts && Request.Method == "PUT")
    return answerStatus(*Answer, this->Hosts.put(Request.Body));
  ++this->Counters[Request.Path.substr(Request.Path.rfind('/') + 1)];
  bool HasFaults = IsKeyValue || this->Faults.IncludesHostList;
  if (HasFaults && this->Faults.Mode == PlatformMode::Down)
    return answerUnavailable(*Answer);
  if (HasFaults && this->Faults.Mode == PlatformMode::Hang) {
    this->Hanging.push_back(Answer);
    return;
  }
  auto Run = [this, Request, Answer, IsHosts, Token = this->Alive] {
    if (!*Token)
      return;
    if (IsHosts)
      this->handleHosts(Request, Answer);
    else
      this->handleKeyValue(Request, Answer);
  };
  if (HasFaults && this->Faults.Mode == PlatformMode::Slow)
    this->Exec.runAfter(this->Faults.Delay, Run);
  else
    Run();
}

void PlatformService::handleHosts(const HttpRequest &,
                                  const Responder &Answer) {
  answerJson(*Answer, 200, this->Hosts.get());
}

void PlatformService::handleKeyValue(const HttpRequest &Request,
                                     const Responder &Answer) {
  if (Request.Path == "/v3/watch")
    this->openWatch(Request, Answer);
  else
    this->callKeyValue(Request, Answer);
}

// Counts one answer that is to be lost. Reads are answered.
bool PlatformService::takesLostAnswer(const std::string &Path) {
  if (this->Faults.Mode != PlatformMode::LoseAnswers || Path == "/v3/kv/range")
    return false;
  if (this->Faults.LoseCount > 0 && --this->Faults.LoseCount == 0)
    this->Faults.Mode = PlatformMode::Up;
  return true;
}

void PlatformService::callKeyValue(const HttpRequest &Request,
                                   const Responder &Answer) {
  json Body = json::parse(Request.Body, nullptr, /*allow_exceptions=*/false);
  int64_t StaleBy = this->Faults.Mode == PlatformMode::Stale
                        ? this->Faults.StaleRevisions
                        : 0;
  absl::StatusOr<json> Result = this->Gateway.call(Request.Path, Body, StaleBy);
  if (this->takesLostAnswer(Request.Path))
    cut(*Answer);
  else if (Result.ok())
    answerJson(*Answer, 200, Result->dump());
  else
    answerStatus(*Answer, Result.status());
}

void PlatformService::openWatch(const HttpRequest &Request,
                                const Responder &Answer) {
  json Body = json::parse(Request.Body, nullptr, /*allow_exceptions=*/false);
  auto Parsed = this->Gateway.parseWatch(Body);
  if (!Parsed.ok())
    return answerStatus(*Answer, Parsed.status());
  HttpResponse Head;
  Head.Headers.add("Content-Type", "application/json");
  Answer->beginStream(std::move(Head));
  json Created = this->Gateway.watchCreated(*Parsed);
  Answer->write(Created.dump() + "\n");
  if (Created["result"].contains("canceled")) {
    Answer->end();
    return;
  }
  Watch Opened{Parsed->Range, Parsed->StartRevision, Answer};
  if (Opened.StartRevision > 0 && !this->Faults.SilenceWatches)
    this->writeEvents(Opened, this->State.eventsSince(Opened.StartRevision));
  this->Watches.push_back(std::move(Opened));
}

void PlatformService::writeEvents(const Watch &To,
                                  const std::vector<KeyEvent> &Events) {
  std::vector<KeyEvent> Matching;
  for (const KeyEvent &Event : Events)
    if (To.Range.contains(Event.Now.Key) &&
        Event.Now.ModRevision >= To.StartRevision)
      Matching.push_back(Event);
  if (!Matching.empty())
    To.Stream->write(this->Gateway.watchEvents(Matching).dump() + "\n");
}

void PlatformService::passOn(const std::vector<KeyEvent> &Events) {
  this->Watches.erase(
      std::remove_if(this->Watches.begin(), this->Watches.end(),
                     [](const Watch &W) { return W.Stream->isClosed(); }),
      this->Watches.end());
  if (this->Faults.SilenceWatches || this->Faults.Mode == PlatformMode::Hang)
    return;
  for (const Watch &Open : this->Watches)
    this->writeEvents(Open, Events);
}

void PlatformService::cutWatches() {
  for (const Watch &Open : this->Watches)
    Open.Stream->end(/*Abort=*/true);
  this->Watches.clear();
}

void PlatformService::setFaults(const PlatformFaults &Value) {
  this->Faults = Value;
  if (Value.Mode != PlatformMode::Hang) {
    for (const Responder &Answer : this->Hanging)
      answerUnavailable(*Answer);
    this->Hanging.clear();
  }
  if (Value.Mode == PlatformMode::Down || Value.BreakWatches)
    this->cutWatches();
}

void PlatformService::handleFaults(const HttpRequest &Request,
                                   const Responder &Answer) {
  auto Parsed = PlatformFaults::parse(Request.Body);
  if (Parsed.ok())
    this->setFaults(*Parsed);
  answerStatus(*Answer, Parsed.status());
}

void PlatformService::handleCounters(const Responder &Answer) {
  json Result = json::object();
  int64_t Total = 0;
  for (const auto &[Name, Count] : this->Counters) {
    Result[Name] = Count;
    Total += Count;
  }
  Result["total"] = Total;
  Result["revision"] = this->State.revision();
  answerJson(*Answer, 200, Result.dump());
}

} // namespace vanillayard
