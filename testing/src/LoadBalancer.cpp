#include "testing/LoadBalancer.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace vanillayard {

static constexpr absl::Duration RetryDelay = absl::Milliseconds(50);

const EntryHostNode *LoadBalancer::nextHost() {
  for (size_t I = 0; I < this->Hosts.hostCount(); ++I) {
    EntryHostNode &Host =
        this->Hosts.host(this->NextIndex++ % this->Hosts.hostCount());
    if (Host.isRunning() && !Host.Caller.empty())
      return &Host;
  }
  return nullptr;
}

/// Returns true if a caller may send the request again after this answer.
static bool shouldRetry(const absl::StatusOr<HttpResponse> &Response) {
  if (!Response.ok())
    return true;
  if (Response->Status != 503 && Response->Status != 409)
    return false;
  nlohmann::json Problem =
      nlohmann::json::parse(Response->Body, nullptr, false);
  if (!Problem.is_object())
    return false;
  // "in_progress": an earlier attempt is still running; a retry with the same
  // idempotency key will get its answer.
  return Response->Status == 503 ? Problem["execution"] == "not_run"
                                 : Problem["kind"] == "in_progress";
}

void LoadBalancer::sendRequest(HttpRequest Request, absl::Duration Timeout,
                               HttpClient::ResponseCallback Done) {
  this->sendAttempt(std::move(Request), Timeout, MaxAttempts, std::move(Done));
}

void LoadBalancer::sendAttempt(HttpRequest Request, absl::Duration Timeout,
                               int AttemptsLeft,
                               HttpClient::ResponseCallback Done) {
  auto RetryOrFinish = [this, Request, Timeout, AttemptsLeft,
                        Done](const absl::StatusOr<HttpResponse> &Response) {
    if (AttemptsLeft <= 1 || !shouldRetry(Response))
      return Done(Response);
    ++this->Retries;
    this->Hosts.http().loop().runAfter(
        RetryDelay, [this, Request, Timeout, AttemptsLeft, Done] {
          this->sendAttempt(Request, Timeout, AttemptsLeft - 1, Done);
        });
  };
  const EntryHostNode *Host = this->nextHost();
  if (!Host)
    return RetryOrFinish(absl::UnavailableError("no host is running"));
  this->Hosts.http().beginCall(Host->Caller, std::move(Request), Timeout,
                               std::move(RetryOrFinish));
}

} // namespace vanillayard
