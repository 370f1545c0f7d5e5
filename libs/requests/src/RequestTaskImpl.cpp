#include "RequestTaskImpl.h"

#include "base/Digest.h"
#include "base/ErrorKind.h"
#include "config/Configuration.h"

#include <utility>

namespace vanillayard {

// One of this number of requests that are judged too late is run all the same.
static constexpr int64_t TooLateSampleInterval = 16;
static constexpr absl::Duration TickInterval = absl::Milliseconds(50);
// Bounds the time that one callback occupies the executor.
static constexpr int MaxExpiredBatch = 1000;
static constexpr int MaxDispatchBatch = 256;
// Calls to workers time out at the deadline. The deadline timer runs later, so
// that the results of these calls are handled first.
static constexpr absl::Duration DeadlineGrace = absl::Milliseconds(100);
static constexpr absl::Duration InProgressRetryAfter = absl::Seconds(1);

RequestTaskImpl::RequestTaskImpl(const RequestTask::Builder &B)
    : Options(B), Queue(AdmissionQueue::create(B.Order, QueueSettings())),
      Retry(RetryPolicy::create(B.Retries, Limits().RetryBudget, B.Seed)),
      Routing(DataCentreSelector::create(B.Routing, B.Seed + 1)),
      Table(WorkerSelector::create(B.WorkerSelection, B.Seed + 2),
            WorkerHealth::create(B.Health), B.Concurrency),
      Claims(B.Exec, B.Backend, B.StoreTimeout), RepeatableRequests(*this),
      AtMostOnceRequests(*this, Claims) {}

RequestTaskImpl::~RequestTaskImpl() {
  for (const auto &[Token, R] : this->Requests) {
    this->Options.Exec.cancel(R->DeadlineTimer);
    this->Options.Exec.cancel(R->DelayTimer);
  }
}

void RequestTaskImpl::setConfiguration(const Configuration &NewConfig) {
  this->Settings = QueueSettings::fromConfiguration(NewConfig);
  this->Queue->configure(this->Settings);
  this->Retry->setBudgetShare(NewConfig.Bounds.RetryBudget);
  for (const Preset &Candidate : NewConfig.Presets)
    if (Candidate.Name == NewConfig.PresetInForce) {
      // The first-in-first-out baseline has no urgent reserve.
      this->UrgentReserve =
          this->Options.Order == QueueOrder::Fifo ? 0 : Candidate.UrgentReserve;
      this->SpillOver = Candidate.SpillOver;
    }
  this->Configured = true;
  this->scheduleDispatch();
}

bool RequestTaskImpl::isUrgent(const KindOfWorkId &Kind) const {
  return this->Settings.kind(Kind).Urgent;
}

absl::Status
RequestTaskImpl::checkAdmission(const SubmittedRequest &Request) const {
  if (this->ShuttingDown)
    return makeError(ErrorKind::ShuttingDown, "this host is shutting down");
  if (!this->Configured)
    return makeError(ErrorKind::NotReady, "this host has no configuration yet");
  if (!this->Settings.Kinds.contains(Request.Kind))
    return makeError(ErrorKind::UnknownKind,
                     "the kind of the request is not configured");
  if (!this->Settings.Accounts.contains(Request.Account))
    return makeError(ErrorKind::UnknownAccount,
                     "the client account of the request is not configured");
  if (Request.Id.empty() || this->TokensById.contains(Request.Id))
    return makeError(ErrorKind::InvalidRequest,
                     "the request id is empty or in use on this host");
  if (Request.Deadline <= this->Options.Exec.now())
    return makeError(ErrorKind::DeadlineExpired, "the deadline has passed");
  if (Request.Repeatable)
    return absl::OkStatus();
  if (Request.IdempotencyKey.empty())
    return makeError(
        ErrorKind::InvalidRequest,
        "a request that is not repeatable needs an idempotency key");
  if (!this->Claims.isAvailable())
    return makeError(ErrorKind::PlatformUnavailable,
                     "the key-value service does not answer", absl::Seconds(1));
  return absl::OkStatus();
}

absl::Status RequestTaskImpl::checkIdempotencyKey(const LiveRequest &R) const {
  auto Found = this->TokensByClaimKey.find(R.ClaimKey);
  if (Found == this->TokensByClaimKey.end())
    return absl::OkStatus();
  if (this->Requests.at(Found->second)->Digest != R.Digest)
    return makeError(ErrorKind::KeyReused,
                     "the idempotency key is in use by a request with a "
                     "different kind or body");
  return makeError(
      ErrorKind::InProgress,
      "an earlier submission with the same idempotency key is not answered yet",
      InProgressRetryAfter);
}

void RequestTaskImpl::submit(SubmittedRequest Request, AnswerCallback Done) {
  ++this->Counters.Submitted;
  auto R = std::make_shared<LiveRequest>();
  R->Request = std::move(Request);
  R->Done = std::move(Done);
  absl::Status Checked = this->checkAdmission(R->Request);
  if (Checked.ok() && !R->Request.Repeatable) {
    R->ClaimKey =
        ClaimStore::keyOf(R->Request.Account, R->Request.IdempotencyKey);
    R->Digest = sha256Hex(R->Request.Kind.str() + "\n" + R->Request.Body);
    Checked = this->checkIdempotencyKey(*R);
  }
  if (!Checked.ok())
    return this->answerCaller(*R, Checked);
  R->Token = this->NextToken++;
  this->Requests[R->Token] = R;
  this->TokensById[R->Request.Id] = R->Token;
  if (!R->Request.Repeatable)
    this->TokensByClaimKey[R->ClaimKey] = R->Token;
  if (!this->forwardIfBetter(R))
    this->admit(R);
}

QueueItem RequestTaskImpl::queueItemFor(const LiveRequest &R) const {
  return {R.Request.Kind,   R.Request.Account,
          R.Request.Caller, R.Request.Deadline,
          R.Token,          this->KindRunTimes.expectedSeconds(R.Request.Kind)};
}

void RequestTaskImpl::admit(const LivePtr &R) {
  R->CurrentStage = LiveRequest::Stage::Queued;
  auto Handle =
      this->Queue->push(this->queueItemFor(*R), this->Options.Exec.now());
  if (!Handle.ok())
    return this->answerCaller(*R, Handle.status());
  R->QueueHandle = *Handle;
  this->scheduleDispatch();
  this->scheduleTick(TickInterval);
}

bool RequestTaskImpl::cancel(const RequestId &Id, CancelReason Reason) {
  auto Found = this->TokensById.find(Id);
  if (Found == this->TokensById.end())
    return false;
  LivePtr R = this->Requests.at(Found->second);
  if (R->isAnswered())
    return false;
  if (R->Request.Repeatable) {
    for (const LiveRequest::InFlightAttempt &Open : R->InFlightAttempts)
      this->Options.Workers.stop(Open.Address, Open.Lease,
                                 Epoch{1, this->Options.Host},
                                 [](const absl::StatusOr<LeaseReport> &) {});
  } else if (Reason == CancelReason::Requested) {
    this->AtMostOnceRequests.stopTask(*R);
  }
  this->answerCaller(
      *R, makeError(ErrorKind::Cancelled, "the request was cancelled"));
  return true;
}

// Replaces an error whose Execution is NotRun if an earlier attempt ran or may
// have run.
static absl::Status withActualExecution(const LiveRequest &R,
                                        const absl::Status &Error) {
  if (!isProvablyNotRun(Error) || (R.UnresolvedStarts == 0 && !R.HasFailedRun))
    return Error;
  if (errorKindOf(Error) == ErrorKind::Cancelled)
    return makeError(ErrorKind::CancelledRunning,
                     "the request was cancelled after it was started");
  if (R.UnresolvedStarts == 0)
    return makeError(ErrorKind::TaskFailed, "the task ran and failed");
  return makeError(ErrorKind::OutcomeUnknown,
                   "an attempt was started and its outcome is not known");
}

void RequestTaskImpl::answerCaller(LiveRequest &R,
                                   absl::StatusOr<RequestAnswer> Result) {
  if (R.isAnswered())
    return;
  if (!Result.ok())
    Result = withActualExecution(R, Result.status());
  if (R.CurrentStage == LiveRequest::Stage::Queued)
    this->Queue->cancel(R.QueueHandle);
  ++(Result.ok() ? this->Counters.Answered : this->Counters.Failed);
  this->Options.Exec.post(
      [Done = std::exchange(R.Done, nullptr),
       Value = std::move(Result)]() mutable { Done(std::move(Value)); });
  this->Options.Exec.cancel(R.DeadlineTimer);
  auto Key = this->TokensByClaimKey.find(R.ClaimKey);
  if (Key != this->TokensByClaimKey.end() && Key->second == R.Token)
    this->TokensByClaimKey.erase(Key);
  if (R.PendingOperations == 0)
    this->removeRequest(R);
}

void RequestTaskImpl::endOperation(LiveRequest &R) {
  if (--R.PendingOperations == 0 && R.isAnswered())
    this->removeRequest(R);
  this->scheduleDispatch();
}

void RequestTaskImpl::removeRequest(LiveRequest &R) {
  auto Found = this->Requests.find(R.Token);
  if (Found == this->Requests.end())
    return;
  // Keeps R alive until the end of this call.
  LivePtr Keep = std::move(Found->second);
  this->Options.Exec.cancel(R.DelayTimer);
  this->TokensById.erase(R.Request.Id);
  this->Requests.erase(Found);
  this->reportIfIdle();
}

void RequestTaskImpl::startDeadlineTimer(const LivePtr &R) {
  if (R->DeadlineTimer)
    return;
  absl::Time Now = this->Options.Exec.now();
  R->DeadlineTimer = this->Options.Exec.runAfter(
      R->Request.Deadline - Now + DeadlineGrace, [this, Weak = LiveWeak(R)] {
        if (LivePtr Live = Weak.lock())
          this->answerCaller(*Live, makeError(ErrorKind::DeadlineExpired,
                                              "the deadline has passed"));
      });
}

void RequestTaskImpl::requeue(LiveRequest &R) {
  ++this->Counters.Requeued;
  R.CurrentStage = LiveRequest::Stage::Requeued;
  (this->isUrgent(R.Request.Kind) ? this->RequeuedUrgent : this->RequeuedOther)
      .push_back(R.Token);
  this->scheduleDispatch();
  this->scheduleTick(TickInterval);
}

bool RequestTaskImpl::scheduleRetry(LiveRequest &R, bool NotRun) {
  Executor &Exec = this->Options.Exec;
  auto Wait = this->Retry->onFailure(R.Request.Account,
                                     {R.Attempts, NotRun, R.Request.Repeatable,
                                      R.Request.Deadline - Exec.now()});
  if (!Wait)
    return false;
  ++this->Counters.Retries;
  R.CurrentStage = LiveRequest::Stage::Backoff;
  Exec.cancel(R.DelayTimer);
  R.DelayTimer = Exec.runAfter(*Wait, [this, Weak = R.weak_from_this()] {
    LivePtr Live = Weak.lock();
    if (Live && !Live->isAnswered())
      this->requeue(*Live);
  });
  return true;
}

bool RequestTaskImpl::takeHedgeFromBudget(LiveRequest &R) {
  if (!this->Retry->takeFromBudget(R.Request.Account))
    return false;
  ++this->Counters.Hedges;
  return true;
}

void RequestTaskImpl::recordSuccess(LiveRequest &R, absl::Duration RunTime) {
  this->KindRunTimes.add(R.Request.Kind, RunTime);
  this->Retry->onSuccess(R.Request.Account);
}

absl::Duration RequestTaskImpl::hedgeDelay(const LiveRequest &R) {
  if (!this->Options.Hedging || !this->isUrgent(R.Request.Kind))
    return absl::InfiniteDuration();
  return this->KindRunTimes.likelyMaximum(R.Request.Kind);
}

absl::Duration RequestTaskImpl::queueDelay() const {
  absl::Duration Longest;
  // A backlog of deferrable work does not delay other work.
  for (const auto &[Kind, Share] : this->Settings.Kinds)
    if (!Share.Deferrable)
      Longest = std::max(
          Longest, this->Queue->drainTime(Kind, this->Options.Exec.now()));
  return Longest;
}

void RequestTaskImpl::updateWorker(const WorkerCapacity &View) {
  this->Table.update(View, this->Options.Exec.now());
  this->scheduleDispatch();
}

void RequestTaskImpl::removeWorker(const WorkerId &Id) {
  this->Table.remove(Id);
}

void RequestTaskImpl::scheduleDispatch() {
  if (this->DispatchScheduled)
    return;
  this->DispatchScheduled = true;
  this->Options.Exec.post([this, WeakAlive = std::weak_ptr<bool>(this->Alive)] {
    if (WeakAlive.expired())
      return;
    this->DispatchScheduled = false;
    this->dispatch();
  });
}

LivePtr RequestTaskImpl::nextRequeued(std::deque<uint64_t> &From) {
  while (!From.empty()) {
    auto Found = this->Requests.find(From.front());
    From.pop_front();
    // An answered or removed request stays in the deque and is skipped here.
    if (Found != this->Requests.end() && !Found->second->isAnswered() &&
        Found->second->CurrentStage == LiveRequest::Stage::Requeued)
      return Found->second;
  }
  return nullptr;
}

bool RequestTaskImpl::isTooLate(const LiveRequest &R) {
  // A request that cannot end before its deadline would only take a slot from
  // requests that can.
  absl::Duration Needed = this->KindRunTimes.likelyMinimum(R.Request.Kind);
  if (this->Options.Exec.now() + Needed <= R.Request.Deadline)
    return false;
  // A sample of them is run all the same: otherwise no run time would be
  // measured that shows that the kind has become faster.
  return ++this->TooLateCount % TooLateSampleInterval != 0;
}

LivePtr RequestTaskImpl::nextRequest(bool UrgentOnly) {
  if (LivePtr R = this->nextRequeued(this->RequeuedUrgent))
    return R;
  if (!UrgentOnly)
    if (LivePtr R = this->nextRequeued(this->RequeuedOther))
      return R;
  absl::Time Now = this->Options.Exec.now();
  for (int I = 0; I < MaxExpiredBatch; ++I) {
    auto Popped = this->Queue->pop(Now, UrgentOnly);
    if (!Popped)
      return nullptr;
    LivePtr R = this->Requests.at(Popped->Token);
    if (!Popped->Expired && !this->isTooLate(*R))
      return R;
    this->answerCaller(
        *R, makeError(
                ErrorKind::DeadlineExpired,
                "the time until the deadline is too short to run the request"));
  }
  this->scheduleDispatch();
  return nullptr;
}

bool RequestTaskImpl::isUrgentOnly() const {
  // The first-in-first-out baseline has neither a reserve nor a slot share.
  return this->UrgentReserve > 0 &&
         this->Table.isOnlyUrgentAllowed(this->UrgentReserve, this->SlotShare);
}

bool RequestTaskImpl::isUrgentWaiting() const {
  if (this->UrgentReserve <= 0)
    return false;
  if (!this->RequeuedUrgent.empty())
    return true;
  for (const auto &[Id, Kind] : this->Settings.Kinds)
    if (Kind.Urgent && this->Queue->size(Id) > 0)
      return true;
  return false;
}

void RequestTaskImpl::setSlotShare(double Share) {
  this->SlotShare = Share;
  this->scheduleDispatch();
}

bool RequestTaskImpl::isShareBinding() const {
  return this->queuedCount() > 0 &&
         this->Table.isShareUsed(this->UrgentReserve, this->SlotShare);
}

void RequestTaskImpl::dispatch() {
  for (int I = 0; I < MaxDispatchBatch; ++I) {
    bool UrgentOnly = this->isUrgentOnly();
    if (this->Table.availableCapacity() <= 0) {
      if (!this->isUrgentWaiting() ||
          !this->Table.allowProbeOfOldestView(this->Options.Exec.now()))
        return;
      UrgentOnly = true;
    }
    LivePtr R = this->nextRequest(UrgentOnly);
    if (!R)
      return;
    bool Urgent = this->isUrgent(R->Request.Kind);
    auto Slot = this->Table.reserve(R->FailedOn, Urgent);
    if (!Slot)
      Slot = this->Table.reserve({}, Urgent);
    if (!Slot)
      return this->requeue(*R);
    this->startOnWorker(R, *Slot);
  }
  this->scheduleDispatch();
}

void RequestTaskImpl::startOnWorker(const LivePtr &R,
                                    const WorkerTable::Reservation &Slot) {
  ++this->Counters.Attempts;
  this->startDeadlineTimer(R);
  if (R->Request.Repeatable)
    this->RepeatableRequests.start(R, Slot);
  else
    this->AtMostOnceRequests.start(R, Slot);
}

void RequestTaskImpl::scheduleTick(absl::Duration Delay) {
  if (this->TickScheduled)
    return;
  this->TickScheduled = true;
  this->Options.Exec.runAfter(
      Delay, [this, WeakAlive = std::weak_ptr<bool>(this->Alive)] {
        if (WeakAlive.expired())
          return;
        this->TickScheduled = false;
        this->tick();
      });
}

void RequestTaskImpl::tick() {
  absl::Time Now = this->Options.Exec.now();
  bool More = false;
  for (int I = 0; I < MaxExpiredBatch; ++I) {
    auto Token = this->Queue->popExpired(Now);
    More = Token.has_value();
    if (!More)
      break;
    this->answerCaller(
        *this->Requests.at(*Token),
        makeError(ErrorKind::DeadlineExpired,
                  "the deadline passed while the request was queued"));
  }
  this->Table.refreshAll(Now);
  this->scheduleDispatch();
  if (this->Queue->size() > 0 || !this->RequeuedUrgent.empty() ||
      !this->RequeuedOther.empty())
    this->scheduleTick(More ? absl::ZeroDuration() : TickInterval);
}

} // namespace vanillayard
