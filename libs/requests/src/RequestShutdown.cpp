#include "RequestTaskImpl.h"

#include "base/ErrorKind.h"

#include <utility>
#include <vector>

namespace vanillayard {

// Bounds the work between two pieces of other work on the executor.
static constexpr size_t MaxHandOversInRow = 256;

void RequestTaskImpl::shutdown(std::function<void()> WhenIdle) {
  this->ShuttingDown = true;
  this->Idle = std::move(WhenIdle);
  this->handOverSome();
  this->checkIdle();
}

void RequestTaskImpl::handOverSome() {
  std::vector<LivePtr> Waiting;
  for (const auto &[Token, R] : this->Live) {
    bool Waits = R->At == LiveRequest::Stage::Queued ||
                 R->At == LiveRequest::Stage::Returned ||
                 R->At == LiveRequest::Stage::Backoff;
    if (Waits && !R->isAnswered())
      Waiting.push_back(R);
    if (Waiting.size() == MaxHandOversInRow)
      break;
  }
  for (const LivePtr &R : Waiting)
    this->handOver(R);
  if (!Waiting.empty())
    this->Config.Exec.post([this, Watch = std::weak_ptr<bool>(this->Alive)] {
      if (!Watch.expired())
        this->handOverSome();
    });
}

void RequestTaskImpl::handOver(const LivePtr &R) {
  if (R->At == LiveRequest::Stage::Queued)
    this->Queue->cancel(R->Queued);
  this->Config.Exec.cancel(R->Wait);
  if (!this->Config.Forwarder || R->Request.Forwarded)
    return this->finish(
        *R, makeError(ErrorKind::ShuttingDown, "this host is shutting down"));
  this->forward(R, this->Config.DataCentre);
}

void RequestTaskImpl::checkIdle() {
  if (!this->ShuttingDown || !this->Live.empty() || !this->Idle)
    return;
  this->Config.Exec.post(std::exchange(this->Idle, nullptr));
}

} // namespace vanillayard
