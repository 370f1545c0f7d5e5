#include "RequestTaskImpl.h"

#include "base/ErrorKind.h"

#include <utility>
#include <vector>

namespace vanillayard {

// Bounds the time that one callback occupies the executor.
static constexpr size_t MaxHandOverBatch = 256;

bool RequestTaskImpl::forwardIfBetter(const LivePtr &R) {
  if (!this->Options.Forwarder || !this->SpillOver || R->Request.Forwarded)
    return false;
  absl::Time Now = this->Options.Exec.now();
  auto Target = this->Routing->pick(
      this->Queue->estimatedWait(this->queueItemFor(*R), Now),
      this->Options.Forwarder->dataCentreLoads(), Now);
  if (!Target)
    return false;
  this->forward(R, *Target);
  return true;
}

void RequestTaskImpl::forward(const LivePtr &R, const DataCentreId &Target) {
  R->CurrentStage = LiveRequest::Stage::Forwarding;
  ++R->PendingOperations;
  ++R->UnresolvedStarts;
  ++this->Counters.Forwarded;
  this->startDeadlineTimer(R);
  SubmittedRequest Copy = R->Request;
  Copy.Forwarded = true;
  this->Options.Forwarder->forward(
      Target, Copy, [Weak = LiveWeak(R), this](auto Result) {
        if (LivePtr Live = Weak.lock())
          this->onForwarded(Live, std::move(Result));
      });
}

void RequestTaskImpl::onForwarded(const LivePtr &R,
                                  absl::StatusOr<RequestAnswer> Result) {
  if (Result.ok() && Result->Id != R->Request.Id)
    Result = makeError(ErrorKind::AnswerMismatch,
                       "the other host returned the answer to another request");
  bool NotRun = isProvablyNotRun(Result.status());
  if (Result.ok() || NotRun)
    --R->UnresolvedStarts;
  bool RunHere = !R->isAnswered() && !Result.ok() &&
                 (NotRun || R->Request.Repeatable) && !this->ShuttingDown;
  if (RunHere) {
    R->Request.Forwarded = true;
    this->admit(R);
  } else if (NotRun && this->ShuttingDown) {
    this->answerCaller(*R, makeError(ErrorKind::ShuttingDown,
                                     "this host is shutting down and no other "
                                     "host accepted the request"));
  } else {
    this->answerCaller(*R, std::move(Result));
  }
  this->endOperation(*R);
}

void RequestTaskImpl::shutdown(std::function<void()> Callback) {
  this->ShuttingDown = true;
  this->OnIdle = std::move(Callback);
  this->handOverBatch();
  this->reportIfIdle();
}

void RequestTaskImpl::handOverBatch() {
  std::vector<LivePtr> Waiting;
  for (const auto &[Token, R] : this->Requests) {
    bool Waits = R->CurrentStage == LiveRequest::Stage::Queued ||
                 R->CurrentStage == LiveRequest::Stage::Requeued ||
                 R->CurrentStage == LiveRequest::Stage::Backoff;
    if (Waits && !R->isAnswered())
      Waiting.push_back(R);
    if (Waiting.size() == MaxHandOverBatch)
      break;
  }
  for (const LivePtr &R : Waiting)
    this->handOver(R);
  if (!Waiting.empty())
    this->Options.Exec.post(
        [this, WeakAlive = std::weak_ptr<bool>(this->Alive)] {
          if (!WeakAlive.expired())
            this->handOverBatch();
        });
}

void RequestTaskImpl::handOver(const LivePtr &R) {
  if (R->CurrentStage == LiveRequest::Stage::Queued)
    this->Queue->cancel(R->QueueHandle);
  this->Options.Exec.cancel(R->DelayTimer);
  if (!this->Options.Forwarder || R->Request.Forwarded)
    return this->answerCaller(
        *R, makeError(ErrorKind::ShuttingDown, "this host is shutting down"));
  this->forward(R, this->Options.DataCentre);
}

void RequestTaskImpl::reportIfIdle() {
  if (!this->ShuttingDown || !this->Requests.empty() || !this->OnIdle)
    return;
  this->Options.Exec.post(std::exchange(this->OnIdle, nullptr));
}

} // namespace vanillayard
