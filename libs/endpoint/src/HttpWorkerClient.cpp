#include "endpoint/HttpWorkerClient.h"

#include "WorkerAnswer.h"
#include "base/AbslView.h"
#include "base/ErrorKind.h"
#include "endpoint/WorkerCodec.h"

#include "absl/strings/numbers.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace vanillayard {

using namespace worker_codec;
using nlohmann::json;

HttpWorkerClient::HttpWorkerClient(HttpClient &Http, Executor &Exec,
                                   absl::Duration ControlTimeout)
    : Http(Http), Exec(Exec), ControlTimeout(ControlTimeout) {}

HttpWorkerClient::~HttpWorkerClient() {
  for (HttpClient::CallId Call : this->Calls)
    this->Http.cancel(Call);
}

static HttpRequest post(std::string Path, std::string Body) {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Path = std::move(Path);
  Request.Body = std::move(Body);
  return Request;
}

static std::string leasePath(const LeaseId &Lease, std::string_view Action) {
  std::string Path = "/v1/leases/" + escape(Lease.str());
  if (!Action.empty())
    Path += fmt::format("/{}", Action);
  return Path;
}

/// Maps an error of the HTTP transport to the errors of WorkerClient.
static absl::Status transportError(const absl::Status &Status) {
  switch (errorKindOf(Status)) {
  case ErrorKind::NoCapacity:
  case ErrorKind::AnswerTruncated:
  case ErrorKind::OutcomeUnknown:
    return Status;
  case ErrorKind::PayloadTooLarge:
    return makeError(ErrorKind::AnswerTruncated, stdView(Status.message()));
  default:
    return makeError(ErrorKind::OutcomeUnknown, stdView(Status.message()));
  }
}

void HttpWorkerClient::send(const Endpoint &Worker, HttpRequest Request,
                            absl::Duration Timeout,
                            HttpClient::ResponseCallback Done) {
  auto Call = std::make_shared<HttpClient::CallId>(0);
  *Call = this->Http.send(Worker, std::move(Request), Timeout,
                          [this, Call, Done = std::move(Done)](
                              absl::StatusOr<HttpResponse> Response) {
                            this->Calls.erase(*Call);
                            if (Response.ok())
                              Done(std::move(Response));
                            else
                              Done(transportError(Response.status()));
                          });
  this->Calls.insert(*Call);
}

void HttpWorkerClient::sendForReport(const Endpoint &Worker,
                                     HttpRequest Request, const LeaseId &Lease,
                                     Callback<LeaseReport> Done) {
  this->send(
      Worker, std::move(Request), this->ControlTimeout,
      [Lease,
       Done = std::move(Done)](const absl::StatusOr<HttpResponse> &Response) {
        if (!Response.ok())
          return Done(Response.status());
        if (absl::Status Error = checkAnswer(*Response, &Lease); !Error.ok())
          return Done(Error);
        std::optional<LeaseReport> Report =
            decodeLeaseReport(fromText(Response->Body));
        if (!Report || Report->Lease != Lease)
          return Done(makeError(ErrorKind::AnswerMismatch,
                                "the answer is not a report on this lease"));
        Done(std::move(*Report));
      });
}

void HttpWorkerClient::sendLeaseCall(const Endpoint &Worker,
                                     const LeaseId &Lease,
                                     std::string_view Action,
                                     const Epoch *Holder,
                                     Callback<LeaseReport> Done,
                                     std::string Body, std::string Query) {
  HttpRequest Request = post(leasePath(Lease, Action), std::move(Body));
  Request.Query = std::move(Query);
  if (Holder)
    Request.Headers.add(EpochHeader, toText(encode(*Holder)));
  this->sendForReport(Worker, std::move(Request), Lease, std::move(Done));
}

void HttpWorkerClient::sendForResult(const Endpoint &Worker,
                                     HttpRequest Request, const LeaseId &Lease,
                                     absl::Duration Timeout, bool MustFinish,
                                     Callback<TaskResult> Done) {
  this->send(Worker, std::move(Request), Timeout,
             [Lease, MustFinish,
              Done = std::move(Done)](absl::StatusOr<HttpResponse> Response) {
               if (!Response.ok())
                 return Done(Response.status());
               if (absl::Status Error = checkAnswer(*Response, &Lease);
                   !Error.ok())
                 return Done(Error);
               Done(readTaskResult(Lease, MustFinish, std::move(*Response)));
             });
}

std::string HttpWorkerClient::cachedVersion(const Endpoint &Worker) const {
  auto Found = this->Cache.find(Worker);
  return Found == this->Cache.end() ? "" : Found->second.Version;
}

WorkerStatus HttpWorkerClient::cacheStatus(const Endpoint &Worker,
                                           std::string_view Version,
                                           WorkerStatus Status) {
  this->Cache[Worker] =
      CachedStatus{std::string(Version), Status, this->Exec.now()};
  return Status;
}

absl::StatusOr<WorkerStatus>
HttpWorkerClient::cachedStatus(const Endpoint &Worker) const {
  auto Found = this->Cache.find(Worker);
  if (Found == this->Cache.end())
    return makeError(
        ErrorKind::AnswerMismatch,
        "the worker reported an unchanged status, but none is cached");
  WorkerStatus Status = Found->second.Status;
  for (LeaseReport &Lease : Status.Leases)
    if (Lease.State == LeaseState::Running)
      Lease.RunTime += this->Exec.now() - Found->second.ReceivedAt;
  return Status;
}

absl::StatusOr<WorkerStatus>
HttpWorkerClient::readStatus(const Endpoint &Worker,
                             const HttpResponse &Response) {
  if (Response.Status == NotModifiedStatus)
    return this->cachedStatus(Worker);
  std::optional<WorkerStatus> Status = decodeStatus(fromText(Response.Body));
  if (!Status)
    return makeError(ErrorKind::AnswerMismatch,
                     "the answer holds no valid worker status");
  return this->cacheStatus(Worker, Response.Headers.get(VersionHeader),
                           std::move(*Status));
}

void HttpWorkerClient::status(const Endpoint &Worker,
                              Callback<WorkerStatus> Done) {
  HttpRequest Request;
  Request.Path = "/v1/status";
  if (std::string Known = this->cachedVersion(Worker); !Known.empty())
    Request.Query = "since=" + escape(Known);
  this->send(Worker, std::move(Request), this->ControlTimeout,
             [this, Worker, Done = std::move(Done)](
                 const absl::StatusOr<HttpResponse> &Response) {
               if (!Response.ok())
                 return Done(Response.status());
               if (absl::Status Error = checkAnswer(*Response, nullptr);
                   !Error.ok())
                 return Done(Error);
               Done(this->readStatus(Worker, *Response));
             });
}

void HttpWorkerClient::acquire(const Endpoint &Worker,
                               const LeaseRequest &Request,
                               Callback<LeaseReport> Done) {
  this->sendForReport(Worker, post("/v1/leases", toText(encode(Request))),
                      Request.Lease, std::move(Done));
}

absl::StatusOr<RenewResult>
HttpWorkerClient::readRenewal(const Endpoint &Worker,
                              const std::vector<LeaseId> &Asked,
                              const HttpResponse &Response) {
  json Answer = fromText(Response.Body);
  RenewResult Result;
  std::vector<LeaseId> All;
  bool IsList = readLeaseIds(Answer, "renewed", Result.Renewed) &&
                readLeaseIds(Answer, "refused", Result.Refused);
  std::vector<LeaseId> Expected = Asked;
  All = Result.Renewed;
  All.insert(All.end(), Result.Refused.begin(), Result.Refused.end());
  std::sort(All.begin(), All.end());
  std::sort(Expected.begin(), Expected.end());
  if (!IsList || All != Expected)
    return makeError(
        ErrorKind::AnswerMismatch,
        "the answer does not list exactly the leases of this renewal");
  auto Status = Answer.find("status");
  if (Status == Answer.end()) {
    absl::StatusOr<WorkerStatus> Known = this->cachedStatus(Worker);
    if (!Known.ok())
      return Known.status();
    Result.Status = std::move(*Known);
    return Result;
  }
  std::optional<WorkerStatus> Decoded = decodeStatus(*Status);
  if (!Decoded)
    return makeError(ErrorKind::AnswerMismatch,
                     "the answer holds no valid worker status");
  Result.Status = this->cacheStatus(Worker, Response.Headers.get(VersionHeader),
                                    std::move(*Decoded));
  return Result;
}

void HttpWorkerClient::renew(const Endpoint &Worker,
                             const std::vector<LeaseId> &Leases,
                             const Epoch &Holder, absl::Duration Ttl,
                             Callback<RenewResult> Done) {
  json Body = {{"epoch", encode(Holder)},
               {"ttl_ms", absl::ToInt64Milliseconds(Ttl)}};
  json &Ids = Body["leases"] = json::array();
  for (const LeaseId &Lease : Leases)
    Ids.push_back(Lease.str());
  if (std::string Known = this->cachedVersion(Worker); !Known.empty())
    Body["since"] = Known;
  this->send(
      Worker, post("/v1/leases/renew", toText(Body)), this->ControlTimeout,
      [this, Worker, Leases,
       Done = std::move(Done)](const absl::StatusOr<HttpResponse> &Response) {
        if (!Response.ok())
          return Done(Response.status());
        if (absl::Status Error = checkAnswer(*Response, nullptr); !Error.ok())
          return Done(Error);
        Done(this->readRenewal(Worker, Leases, *Response));
      });
}

void HttpWorkerClient::start(const Endpoint &Worker, const LeaseId &Lease,
                             const Epoch &Holder, std::string Body,
                             Callback<LeaseReport> Done) {
  this->sendLeaseCall(Worker, Lease, "start", &Holder, std::move(Done),
                      std::move(Body));
}

void HttpWorkerClient::startAndWait(const Endpoint &Worker,
                                    const LeaseId &Lease, const Epoch &Holder,
                                    std::string Body, absl::Duration Timeout,
                                    Callback<TaskResult> Done) {
  HttpRequest Request = post(leasePath(Lease, "start"), std::move(Body));
  Request.Query = "wait=true";
  Request.Headers.add(EpochHeader, toText(encode(Holder)));
  this->sendForResult(Worker, std::move(Request), Lease, Timeout,
                      /*MustFinish=*/true, std::move(Done));
}

void HttpWorkerClient::run(const Endpoint &Worker, const LeaseRequest &Lease,
                           std::string Body, absl::Duration Timeout,
                           Callback<TaskResult> Done) {
  HttpRequest Request = post("/v1/run", std::move(Body));
  Request.Headers.add(LeaseRequestHeader, toText(encode(Lease)));
  this->sendForResult(Worker, std::move(Request), Lease.Lease, Timeout,
                      /*MustFinish=*/true, std::move(Done));
}

void HttpWorkerClient::query(const Endpoint &Worker, const LeaseId &Lease,
                             Callback<TaskResult> Done) {
  HttpRequest Request;
  Request.Path = leasePath(Lease, "");
  this->sendForResult(Worker, std::move(Request), Lease, this->ControlTimeout,
                      /*MustFinish=*/false, std::move(Done));
}

void HttpWorkerClient::revoke(const Endpoint &Worker, const LeaseId &Lease,
                              Callback<RevokeResult> Done) {
  this->send(Worker, post(leasePath(Lease, "revoke"), ""), this->ControlTimeout,
             [Lease, Done = std::move(Done)](
                 const absl::StatusOr<HttpResponse> &Response) {
               if (!Response.ok())
                 return Done(Response.status());
               if (absl::Status Error = checkAnswer(*Response, &Lease);
                   !Error.ok())
                 return Done(Error);
               Done(readRevokeResult(*Response));
             });
}

void HttpWorkerClient::stop(const Endpoint &Worker, const LeaseId &Lease,
                            const Epoch &Holder, Callback<LeaseReport> Done) {
  this->sendLeaseCall(Worker, Lease, "stop", &Holder, std::move(Done));
}

void HttpWorkerClient::checkpoint(const Endpoint &Worker, const LeaseId &Lease,
                                  const Epoch &Holder,
                                  Callback<LeaseReport> Done) {
  this->sendLeaseCall(Worker, Lease, "checkpoint", &Holder, std::move(Done));
}

void HttpWorkerClient::throttle(const Endpoint &Worker, const LeaseId &Lease,
                                const Epoch &Holder, double Share,
                                Callback<LeaseReport> Done) {
  this->sendLeaseCall(Worker, Lease, "throttle", &Holder, std::move(Done), "",
                      fmt::format("share={}", Share));
}

void HttpWorkerClient::release(const Endpoint &Worker, const LeaseId &Lease,
                               Callback<LeaseReport> Done) {
  this->sendLeaseCall(Worker, Lease, "release", nullptr, std::move(Done));
}

} // namespace vanillayard
