#include "SteadyLoad.h"

#include "standin_worker/TaskBody.h"

#include <fmt/format.h>

namespace vanillayard {

/// 50 requests per second, far below the capacity of the demo's workers.
static constexpr absl::Duration Interval = absl::Milliseconds(20);
static constexpr absl::Duration CallTimeout = absl::Seconds(25);
static constexpr absl::Duration FinishLimit = absl::Seconds(60);
static constexpr absl::Duration RunTime = absl::Milliseconds(30);
static constexpr size_t ProofEvery = 5;
static constexpr size_t PhotoEvery = 4;
static constexpr size_t Counters = 3;

void SteadyLoad::start() {
  this->Running = true;
  this->sendNext();
}

void SteadyLoad::sendNext() {
  if (!this->Running)
    return;
  size_t Number = this->SentRequests++;
  ShortRequest Request;
  Request.Body = TaskBody::make(RunTime, fmt::format("load {}", Number), 200);
  if (Number % ProofEvery == 0) {
    Request.Account = "swanbag";
    Request.Caller = "proof desk";
    Request.Kind = "quick-proof";
    Request.IdempotencyKey = fmt::format("proof-{}", Number);
    this->NonRepeatableBodies.push_back(Request.Body);
  } else if (Number % PhotoEvery == 0) {
    Request.Caller = "photo matcher";
    Request.Kind = "photo-match";
  } else {
    Request.Caller = fmt::format("counter {}", Number % Counters + 1);
    Request.Kind = "price-check";
  }
  this->send(std::move(Request));
  this->DemoCluster.http().loop().runAfter(Interval,
                                           [this] { this->sendNext(); });
}

void SteadyLoad::send(ShortRequest Request) {
  ++this->OutstandingRequests;
  CallerRow &Row = this->Table.row(Request.Caller, Request.Kind);
  ++Row.Sent;
  this->Balancer.sendRequest(Request.toHttp(), CallTimeout,
                             [this, &Row, Body = Request.Body](
                                 const absl::StatusOr<HttpResponse> &Response) {
                               --this->OutstandingRequests;
                               countAnswer(Row, Body, Response);
                             });
}

bool SteadyLoad::finish() {
  this->Running = false;
  return this->DemoCluster.http().runUntil(
      [this] { return this->OutstandingRequests == 0; }, FinishLimit);
}

} // namespace vanillayard
