#include "standin_worker/WorkerHttpService.h"

#include "base/AbslView.h"
#include "base/Digest.h"
#include "base/ErrorKind.h"
#include "endpoint/WorkerCodec.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace vanillayard {

using namespace worker_codec;
using nlohmann::json;

static constexpr std::string_view LeasesPath = "/v1/leases/";

static HttpResponse makeResponse(int Status, std::string Body) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Body = std::move(Body);
  return Response;
}

static HttpResponse leaseResponse(int Status, const LeaseId &Lease,
                                  std::string Body) {
  HttpResponse Response = makeResponse(Status, std::move(Body));
  Response.Headers.add(LeaseHeader, escape(Lease.str()));
  return Response;
}

static std::optional<Epoch> epochOf(const HttpRequest &Request) {
  return decodeEpoch(fromText(Request.Headers.get(EpochHeader)));
}

void WorkerHttpService::handle(HttpRequest Request,
                               std::shared_ptr<HttpResponder> Responder) {
  if (Request.Path == "/v1/faults")
    return this->serveFaults(Request, Responder);
  if (Request.Path == "/v1/executions")
    return this->serveExecutions(Responder);
  if (!this->Faults.Frozen)
    return this->serveProtocol(Request, Responder);
  this->QueuedCalls.push_back(
      [this, Request = std::move(Request), Responder = std::move(Responder)] {
        this->serveProtocol(Request, Responder);
      });
}

void WorkerHttpService::setFrozen(bool Frozen) {
  this->Faults.Frozen = Frozen;
  if (Frozen)
    return;
  auto Calls = std::exchange(this->QueuedCalls, {});
  for (auto &Call : Calls)
    this->Exec.post(std::move(Call));
}

void WorkerHttpService::serveProtocol(const HttpRequest &Request,
                                      const ResponderRef &Responder) {
  bool IsPost = Request.Method == "POST";
  if (Request.Path == "/v1/status" && !IsPost)
    return this->serveStatus(Request, Responder);
  if (Request.Path == "/v1/leases" && IsPost)
    return this->serveAcquire(Request, Responder);
  if (Request.Path == "/v1/leases/renew" && IsPost)
    return this->serveRenew(Request, Responder);
  if (Request.Path == "/v1/run" && IsPost)
    return this->serveRun(Request, Responder);
  std::string_view Path = Request.Path;
  if (!Path.starts_with(LeasesPath))
    return this->answer(Responder, makeResponse(404, "{}"));
  Path.remove_prefix(LeasesPath.size());
  size_t Slash = std::min(Path.find('/'), Path.size());
  std::optional<std::string> Id = unescape(Path.substr(0, Slash));
  std::string_view Action =
      Slash < Path.size() ? Path.substr(Slash + 1) : std::string_view();
  if (!Id || Action.empty() == IsPost)
    return this->answer(Responder, makeResponse(404, "{}"));
  this->serveLease(Request, LeaseId(std::move(*Id)), Action, Responder);
}

void WorkerHttpService::serveStatus(const HttpRequest &Request,
                                    const ResponderRef &Responder) {
  std::string Version = this->Model.version();
  bool IsKnown = Request.queryValue("since") == escape(Version);
  HttpResponse Response =
      IsKnown ? makeResponse(304, "")
              : makeResponse(200, toText(encode(this->Model.status())));
  Response.Headers.add(VersionHeader, std::move(Version));
  this->answer(Responder, std::move(Response));
}

void WorkerHttpService::serveAcquire(const HttpRequest &Request,
                                     const ResponderRef &Responder) {
  std::optional<LeaseRequest> Lease =
      decodeLeaseRequest(fromText(Request.Body));
  if (!Lease)
    return this->answer(Responder, makeResponse(400, "{}"));
  this->answerReport(Responder, Lease->Lease, this->Model.acquire(*Lease));
}

static json leaseIds(const std::vector<LeaseId> &Ids) {
  json Array = json::array();
  for (const LeaseId &Id : Ids)
    Array.push_back(Id.str());
  return Array;
}

void WorkerHttpService::serveRenew(const HttpRequest &Request,
                                   const ResponderRef &Responder) {
  json Body = fromText(Request.Body);
  if (!Body.is_object() || !Body["leases"].is_array() ||
      !Body["ttl_ms"].is_number())
    return this->answer(Responder, makeResponse(400, "{}"));
  std::optional<Epoch> Holder = decodeEpoch(Body["epoch"]);
  std::vector<LeaseId> Ids;
  for (const json &Id : Body["leases"])
    if (Id.is_string())
      Ids.emplace_back(Id.get<std::string>());
  if (!Holder || Ids.size() != Body["leases"].size())
    return this->answer(Responder, makeResponse(400, "{}"));
  RenewResult Result = this->Model.renew(
      Ids, *Holder, absl::Milliseconds(Body["ttl_ms"].get<double>()));
  json Answer = {{"renewed", leaseIds(Result.Renewed)},
                 {"refused", leaseIds(Result.Refused)}};
  std::string Version = this->Model.version();
  if (Body["since"] != Version)
    Answer["status"] = encode(Result.Status);
  HttpResponse Response = makeResponse(200, toText(Answer));
  Response.Headers.add(VersionHeader, std::move(Version));
  this->answer(Responder, std::move(Response));
}

WorkerModel::Waiter
WorkerHttpService::makeWaiter(const LeaseId &Lease,
                              const ResponderRef &Responder) {
  return [this, Lease, Responder](const absl::StatusOr<TaskResult> &Result) {
    if (Result.ok())
      this->answerTask(Responder, Lease, *Result);
    else
      this->answerError(Responder, Lease, Result.status());
  };
}

void WorkerHttpService::serveRun(const HttpRequest &Request,
                                 const ResponderRef &Responder) {
  std::optional<LeaseRequest> Lease =
      decodeLeaseRequest(fromText(Request.Headers.get(LeaseRequestHeader)));
  if (!Lease)
    return this->answer(Responder, makeResponse(400, "{}"));
  this->Model.run(*Lease, Request.Body,
                  this->makeWaiter(Lease->Lease, Responder));
}

void WorkerHttpService::serveStart(const HttpRequest &Request,
                                   const LeaseId &Lease, const Epoch &Holder,
                                   const ResponderRef &Responder) {
  if (Request.queryValue("wait") == "true")
    return this->Model.startAndWait(Lease, Holder, Request.Body,
                                    this->makeWaiter(Lease, Responder));
  this->answerReport(Responder, Lease,
                     this->Model.start(Lease, Holder, Request.Body));
}

void WorkerHttpService::serveLease(const HttpRequest &Request,
                                   const LeaseId &Lease,
                                   std::string_view Action,
                                   const ResponderRef &Responder) {
  if (Action.empty())
    return this->answerTask(Responder, Lease, this->Model.query(Lease));
  if (Action == "release")
    return this->answerReport(Responder, Lease, this->Model.release(Lease));
  if (Action == "revoke") {
    json Body = {
        {"result", RevokeResultNames.nameOf(this->Model.revoke(Lease))}};
    return this->answer(Responder, leaseResponse(200, Lease, toText(Body)));
  }
  std::optional<Epoch> Holder = epochOf(Request);
  if (!Holder)
    return this->answer(Responder, leaseResponse(400, Lease, "{}"));
  if (Action == "start")
    return this->serveStart(Request, Lease, *Holder, Responder);
  if (Action == "stop")
    return this->answerReport(Responder, Lease,
                              this->Model.stop(Lease, *Holder));
  if (Action == "checkpoint")
    return this->answerReport(Responder, Lease,
                              this->Model.checkpoint(Lease, *Holder));
  double Share = 0;
  if (Action == "throttle" &&
      absl::SimpleAtod(Request.queryValue("share"), &Share))
    return this->answerReport(Responder, Lease,
                              this->Model.throttle(Lease, *Holder, Share));
  this->answer(Responder, leaseResponse(404, Lease, "{}"));
}

void WorkerHttpService::answerReport(
    const ResponderRef &Responder, const LeaseId &Lease,
    const absl::StatusOr<LeaseReport> &Report) {
  if (!Report.ok())
    return this->answerError(Responder, Lease, Report.status());
  this->answer(Responder, leaseResponse(200, Lease, toText(encode(*Report))));
}

void WorkerHttpService::answerError(const ResponderRef &Responder,
                                    const LeaseId &Lease,
                                    const absl::Status &Error) {
  ErrorKind Kind = errorKindOf(Error);
  int Status = errorKindInfo(Kind).HttpStatus;
  std::string Reason(errorKindInfo(Kind).Name);
  // The worker protocol answers refusals without an effect with 409, but the
  // table of error kinds has another status for NoCapacity.
  if (Kind == ErrorKind::NoCapacity) {
    Status = 409;
    Reason = this->Model.isDraining() ? "draining" : "no_capacity";
  }
  json Body = {{"reason", Reason}, {"detail", stdView(Error.message())}};
  this->answer(Responder, leaseResponse(Status, Lease, toText(Body)));
}

void WorkerHttpService::answerTask(const ResponderRef &Responder,
                                   const LeaseId &Lease,
                                   const TaskResult &Result) {
  HttpResponse Response = leaseResponse(200, Lease, Result.Body);
  Response.Headers.add(StateHeader,
                       std::string(LeaseStateNames.nameOf(Result.State)));
  if (this->LastResult.Headers.fields().empty())
    this->LastResult = leaseResponse(200, LeaseId("crossed"), "crossed");
  HttpResponse Other = std::exchange(this->LastResult, Response);
  bool Cross = WorkerFaults::consume(this->Faults.CrossAnswers);
  this->answer(Responder, Cross ? std::move(Other) : std::move(Response));
}

void WorkerHttpService::answer(const ResponderRef &Responder,
                               HttpResponse Response) {
  if (WorkerFaults::consume(this->Faults.LoseAnswers)) {
    std::erase_if(this->UnansweredResponders,
                  [](const ResponderRef &R) { return R->isClosed(); });
    this->UnansweredResponders.push_back(Responder);
    return;
  }
  Response.Headers.add(DigestHeader, sha256Hex(Response.Body));
  Response.Headers.add(SlotsFreeHeader,
                       std::to_string(this->Model.freeSlots()));
  bool Truncate = WorkerFaults::consume(this->Faults.TruncateAnswers);
  if (this->Faults.AnswerDelay <= absl::ZeroDuration())
    return this->deliver(Responder, Response, Truncate);
  this->Exec.runAfter(
      this->Faults.AnswerDelay,
      [this, Responder, Response = std::move(Response), Truncate] {
        this->deliver(Responder, Response, Truncate);
      });
}

void WorkerHttpService::deliver(const ResponderRef &Responder,
                                const HttpResponse &Response, bool Truncate) {
  if (!Truncate)
    return Responder->respond(Response);
  Responder->beginStream(Response);
  Responder->write(Response.Body.substr(0, Response.Body.size() / 2));
  Responder->end(/*Abort=*/true);
}

} // namespace vanillayard
