#include "daemon/RequestApi.h"

#include "base/ErrorKind.h"
#include "base/Executor.h"
#include "config/Configuration.h"
#include "net/ProblemDetails.h"
#include "requests/RequestTask.h"
#include "requests/SubmittedRequest.h"

#include "absl/strings/numbers.h"

#include <fmt/format.h>

namespace vanillayard {

static constexpr char AccountHeader[] = "Vanillayard-Account";
static constexpr char CallerHeader[] = "Vanillayard-Caller";
static constexpr char KindHeader[] = "Vanillayard-Kind";
static constexpr char DeadlineHeader[] = "Vanillayard-Deadline-Ms";
static constexpr char RepeatableHeader[] = "Vanillayard-Repeatable";
static constexpr char KeyHeader[] = "Idempotency-Key";
static constexpr char RequestIdHeader[] = "Vanillayard-Request-Id";

static absl::Status invalid(std::string_view Detail) {
  return makeError(ErrorKind::InvalidRequest, Detail);
}

static absl::StatusOr<std::string>
readName(const HttpRequest &Request, const char *Header, bool IsRequired) {
  std::string Value(Request.Headers.get(Header));
  if (Value.empty() && IsRequired)
    return invalid(fmt::format("the header {} is missing", Header));
  if (Value.size() > RequestApi::MaxNameBytes)
    return invalid(fmt::format("the header {} is longer than {} bytes", Header,
                               RequestApi::MaxNameBytes));
  return Value;
}

RequestApi::RequestApi(Executor &Exec, RequestTask &Requests, HostId Host,
                       int64_t Incarnation)
    : Exec(Exec), Requests(Requests),
      IdPrefix(fmt::format("{}-{:x}-", Host.str(), Incarnation)) {}

void RequestApi::setConfiguration(std::shared_ptr<const Configuration> Value) {
  this->Config = std::move(Value);
}

absl::Status RequestApi::checkBody(const HttpRequest &Request) const {
  auto Limit = static_cast<size_t>(this->Config->Bounds.MaxBodyBytes);
  if (Request.Body.size() <= Limit)
    return absl::OkStatus();
  return makeError(ErrorKind::PayloadTooLarge,
                   fmt::format("the body has {} bytes, the limit is {} bytes",
                               Request.Body.size(), Limit));
}

absl::Status RequestApi::readDeadline(const HttpRequest &Request,
                                      SubmittedRequest &Result) const {
  const KindOfWork *Kind = this->Config->findKind(Result.Kind);
  absl::Duration TimeLeft = Kind->DefaultDeadline;
  std::string Text(Request.Headers.get(DeadlineHeader));
  if (!Text.empty()) {
    int64_t Ms = 0;
    if (!absl::SimpleAtoi(Text, &Ms) || Ms < 1 || Ms > MaxDeadlineMs)
      return invalid(
          fmt::format("{} must be 1 to {} ms", DeadlineHeader, MaxDeadlineMs));
    TimeLeft = absl::Milliseconds(Ms);
  }
  Result.Deadline = this->Exec.now() + TimeLeft;
  return absl::OkStatus();
}

absl::Status RequestApi::readRepeatable(const HttpRequest &Request,
                                        SubmittedRequest &Result) const {
  std::string_view Text = Request.Headers.get(RepeatableHeader);
  if (Text.empty())
    Result.Repeatable =
        this->Config->findKind(Result.Kind)->RepeatableByDefault;
  else if (Text == "true" || Text == "false")
    Result.Repeatable = Text == "true";
  else
    return invalid(fmt::format("{} must be true or false", RepeatableHeader));
  if (!Result.Repeatable && Result.IdempotencyKey.empty())
    return invalid(fmt::format("a request that is not repeatable needs the "
                               "header {}",
                               KeyHeader));
  return absl::OkStatus();
}

absl::StatusOr<SubmittedRequest> RequestApi::parse(const HttpRequest &Request) {
  if (!this->Config)
    return makeError(ErrorKind::NotReady, "no configuration is in force yet");
  auto Account = readName(Request, AccountHeader, /*IsRequired=*/true);
  auto Caller = readName(Request, CallerHeader, /*IsRequired=*/true);
  auto Kind = readName(Request, KindHeader, /*IsRequired=*/true);
  auto Key = readName(Request, KeyHeader, /*IsRequired=*/false);
  for (const auto *Name : {&Account, &Caller, &Kind, &Key})
    if (!Name->ok())
      return Name->status();

  SubmittedRequest Result;
  Result.Account = ClientAccountId(*Account);
  Result.Caller = CallerId(*Caller);
  Result.Kind = KindOfWorkId(*Kind);
  Result.IdempotencyKey = *Key;
  if (!this->Config->findAccount(Result.Account))
    return makeError(
        ErrorKind::UnknownAccount,
        fmt::format("client account {} is not in the configuration", *Account));
  if (!this->Config->findKind(Result.Kind))
    return makeError(
        ErrorKind::UnknownKind,
        fmt::format("kind of work {} is not in the configuration", *Kind));
  absl::Status Status = this->checkBody(Request);
  Status.Update(this->readDeadline(Request, Result));
  Status.Update(this->readRepeatable(Request, Result));
  if (!Status.ok())
    return Status;
  Result.Id = RequestId(fmt::format("{}{:x}", this->IdPrefix, this->NextId++));
  Result.Body = Request.Body;
  return Result;
}

void RequestApi::handle(const HttpRequest &Request,
                        const std::shared_ptr<HttpResponder> &Responder) {
  absl::StatusOr<SubmittedRequest> Parsed = this->parse(Request);
  if (!Parsed.ok()) {
    Responder->respond(problemResponse(Parsed.status()));
    return;
  }
  RequestId Id = Parsed->Id;
  Responder->onClose(
      [this, Id] { this->Requests.cancel(Id, CancelReason::Disconnected); });
  this->Requests.submit(std::move(*Parsed),
                        [Responder, Id](absl::StatusOr<RequestAnswer> Answer) {
                          HttpResponse Response;
                          if (Answer.ok()) {
                            Response.Body = std::move(Answer->Body);
                            Response.Headers.add("Content-Type",
                                                 "application/octet-stream");
                          } else {
                            Response = problemResponse(Answer.status());
                          }
                          Response.Headers.add(RequestIdHeader, Id.str());
                          Responder->respond(std::move(Response));
                        });
}

} // namespace vanillayard
