#include "testing/LoadBalancer.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace vanillayard {

static constexpr absl::Duration RepeatDelay = absl::Milliseconds(50);

const EntryHostNode *LoadBalancer::next() {
  for (size_t I = 0; I < this->Hosts.hostCount(); ++I) {
    EntryHostNode &Host =
        this->Hosts.host(this->Turn++ % this->Hosts.hostCount());
    if (Host.isRunning() && !Host.Caller.empty())
      return &Host;
  }
  return nullptr;
}

/// True for an answer after which a caller would send the request again.
static bool shouldRepeat(const absl::StatusOr<HttpResponse> &Response) {
  if (!Response.ok())
    return true;
  if (Response->Status != 503 && Response->Status != 409)
    return false;
  nlohmann::json Problem =
      nlohmann::json::parse(Response->Body, nullptr, false);
  if (!Problem.is_object())
    return false;
  // In progress: the first attempt is still running, and its answer will be
  // found under the idempotency key.
  return Response->Status == 503 ? Problem["execution"] == "not_run"
                                 : Problem["kind"] == "in_progress";
}

void LoadBalancer::begin(HttpRequest Request, absl::Duration Timeout,
                         HttpClient::ResponseCallback Done) {
  this->attempt(std::move(Request), Timeout, MaxAttempts, std::move(Done));
}

void LoadBalancer::attempt(HttpRequest Request, absl::Duration Timeout,
                           int Left, HttpClient::ResponseCallback Done) {
  auto Again = [this, Request, Timeout, Left,
                Done](const absl::StatusOr<HttpResponse> &Response) {
    if (Left <= 1 || !shouldRepeat(Response))
      return Done(Response);
    ++this->Repeats;
    this->Hosts.http().loop().runAfter(
        RepeatDelay, [this, Request, Timeout, Left, Done] {
          this->attempt(Request, Timeout, Left - 1, Done);
        });
  };
  const EntryHostNode *Host = this->next();
  if (!Host)
    return Again(absl::UnavailableError("no host is running"));
  this->Hosts.http().begin(Host->Caller, std::move(Request), Timeout,
                           std::move(Again));
}

} // namespace vanillayard
