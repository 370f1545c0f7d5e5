#include "RequestTaskImpl.h"

#include "base/ErrorKind.h"

#include <utility>
#include <vector>

namespace vanillayard {

// Bounds the work between two pieces of other work on the executor.
static constexpr size_t MaxHandOversInRow = 256;

bool RequestTaskImpl::forwardIfBetter(const LivePtr &R) {
  if (!this->Config.Forwarder || !this->SpillOver || R->Request.Forwarded)
    return false;
  absl::Time Now = this->Config.Exec.now();
  auto Target =
      this->Routing->pick(this->Queue->estimatedWait(this->itemFor(*R), Now),
                          this->Config.Forwarder->loads(), Now);
  if (!Target)
    return false;
  this->forward(R, *Target);
  return true;
}

void RequestTaskImpl::forward(const LivePtr &R, const DataCentreId &Target) {
  R->At = LiveRequest::Stage::Forwarding;
  ++R->OpenSteps;
  ++R->UnresolvedStarts;
  ++this->Counters.Forwarded;
  this->watch(R);
  SubmittedRequest Copy = R->Request;
  Copy.Forwarded = true;
  this->Config.Forwarder->forward(
      Target, Copy, [Weak = LiveWeak(R), this](auto Result) {
        if (LivePtr Live = Weak.lock())
          this->onForwarded(Live, std::move(Result));
      });
}

void RequestTaskImpl::onForwarded(const LivePtr &R,
                                  absl::StatusOr<RequestAnswer> Result) {
  if (Result.ok() && Result->Id != R->Request.Id)
    Result = makeError(ErrorKind::AnswerMismatch,
                       "the host answered for another request");
  bool NotRun = isProvablyNotRun(Result.status());
  if (Result.ok() || NotRun)
    --R->UnresolvedStarts;
  bool RunHere = !R->isAnswered() && !Result.ok() &&
                 (NotRun || R->Request.Repeatable) && !this->ShuttingDown;
  if (RunHere) {
    R->Request.Forwarded = true;
    this->admit(R);
  } else if (NotRun && this->ShuttingDown) {
    this->finish(*R, makeError(ErrorKind::ShuttingDown,
                               "no other host took the request"));
  } else {
    this->finish(*R, std::move(Result));
  }
  this->endStep(*R);
}

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
