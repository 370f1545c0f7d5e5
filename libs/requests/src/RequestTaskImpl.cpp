#include "RequestTaskImpl.h"

#include "base/Digest.h"
#include "base/ErrorKind.h"
#include "config/Configuration.h"

#include <utility>

namespace vanillayard {

// Of the requests that seem too late, one of so many is run.
static constexpr int64_t RunsOneOf = 16;
static constexpr absl::Duration TickInterval = absl::Milliseconds(50);
// Bounds the work between two pieces of other work on the executor.
static constexpr int MaxExpiredInRow = 1000;
static constexpr int MaxDispatchesInRow = 256;
// The answers of calls that end with the deadline come first.
static constexpr absl::Duration DeadlineGrace = absl::Milliseconds(100);
static constexpr absl::Duration InProgressRetryAfter = absl::Seconds(1);

RequestTaskImpl::RequestTaskImpl(const RequestTask::Builder &B)
    : Config(B), Queue(AdmissionQueue::create(B.Order, QueueSettings())),
      Retry(RetryPolicy::create(B.Retries, Limits().RetryBudget, B.Seed)),
      Routing(DataCentreSelector::create(B.Routing, B.Seed + 1)),
      Table(WorkerSelector::create(B.Worker, B.Seed + 2),
            WorkerHealth::create(B.Health), B.Concurrency),
      Claims(B.Exec, B.Backend, B.StoreTimeout), Repeatable(*this),
      Claimed(*this, Claims) {}

RequestTaskImpl::~RequestTaskImpl() {
  for (const auto &[Token, R] : this->Live) {
    this->Config.Exec.cancel(R->Watchdog);
    this->Config.Exec.cancel(R->Wait);
  }
}

void RequestTaskImpl::configure(const Configuration &NewConfig) {
  this->Settings = QueueSettings::from(NewConfig);
  this->Queue->configure(this->Settings);
  this->Retry->setBudgetShare(NewConfig.Bounds.RetryBudget);
  for (const Preset &Candidate : NewConfig.Presets)
    if (Candidate.Name == NewConfig.PresetInForce) {
      // The baseline has no reserve.
      this->UrgentReserve =
          this->Config.Order == QueueOrder::Fifo ? 0 : Candidate.UrgentReserve;
      this->SpillOver = Candidate.SpillOver;
    }
  this->Configured = true;
  this->scheduleDispatch();
}

bool RequestTaskImpl::isUrgent(const KindId &Kind) const {
  return this->Settings.kind(Kind).Urgent;
}

absl::Status RequestTaskImpl::check(const SubmittedRequest &Request) const {
  if (this->ShuttingDown)
    return makeError(ErrorKind::ShuttingDown, "this host is shutting down");
  if (!this->Configured)
    return makeError(ErrorKind::NotReady, "no configuration yet");
  if (!this->Settings.Kinds.contains(Request.Kind))
    return makeError(ErrorKind::UnknownKind, "the kind is not configured");
  if (!this->Settings.Accounts.contains(Request.Account))
    return makeError(ErrorKind::UnknownAccount,
                     "the account is not configured");
  if (Request.Id.empty() || this->Tokens.contains(Request.Id))
    return makeError(ErrorKind::InvalidRequest, "the id is not unique");
  if (Request.Deadline <= this->Config.Exec.now())
    return makeError(ErrorKind::DeadlineExpired, "the deadline has passed");
  if (Request.Repeatable)
    return absl::OkStatus();
  if (Request.IdempotencyKey.empty())
    return makeError(ErrorKind::InvalidRequest,
                     "a request that is not repeatable needs a key");
  if (!this->Claims.isAvailable())
    return makeError(ErrorKind::PlatformUnavailable,
                     "the key-value service does not answer", absl::Seconds(1));
  return absl::OkStatus();
}

absl::Status RequestTaskImpl::checkKey(const LiveRequest &R) const {
  auto Found = this->Keys.find(R.ClaimKey);
  if (Found == this->Keys.end())
    return absl::OkStatus();
  if (this->Live.at(Found->second)->Digest != R.Digest)
    return makeError(ErrorKind::KeyReused,
                     "the key is used by another request");
  return makeError(ErrorKind::InProgress, "an earlier submission is waiting",
                   InProgressRetryAfter);
}

void RequestTaskImpl::submit(SubmittedRequest Request, AnswerCallback Done) {
  ++this->Counters.Submitted;
  auto R = std::make_shared<LiveRequest>();
  R->Request = std::move(Request);
  R->Done = std::move(Done);
  absl::Status Checked = this->check(R->Request);
  if (Checked.ok() && !R->Request.Repeatable) {
    R->ClaimKey =
        ClaimStore::keyOf(R->Request.Account, R->Request.IdempotencyKey);
    R->Digest = sha256Hex(R->Request.Kind.str() + "\n" + R->Request.Body);
    Checked = this->checkKey(*R);
  }
  if (!Checked.ok())
    return this->finish(*R, Checked);
  R->Token = this->NextToken++;
  this->Live[R->Token] = R;
  this->Tokens[R->Request.Id] = R->Token;
  if (!R->Request.Repeatable)
    this->Keys[R->ClaimKey] = R->Token;
  if (!this->forwardIfBetter(R))
    this->admit(R);
}

QueueItem RequestTaskImpl::itemFor(const LiveRequest &R) const {
  return {R.Request.Kind,   R.Request.Account,
          R.Request.Caller, R.Request.Deadline,
          R.Token,          this->Times.cost(R.Request.Kind)};
}

void RequestTaskImpl::admit(const LivePtr &R) {
  R->At = LiveRequest::Stage::Queued;
  auto Handle = this->Queue->push(this->itemFor(*R), this->Config.Exec.now());
  if (!Handle.ok())
    return this->finish(*R, Handle.status());
  R->Queued = *Handle;
  this->scheduleDispatch();
  this->scheduleTick(TickInterval);
}

bool RequestTaskImpl::cancel(const RequestId &Id, CancelReason Reason) {
  auto Found = this->Tokens.find(Id);
  if (Found == this->Tokens.end())
    return false;
  LivePtr R = this->Live.at(Found->second);
  if (R->isAnswered())
    return false;
  if (R->Request.Repeatable) {
    for (const LiveRequest::OpenRun &Open : R->OpenRuns)
      this->Config.Workers.stop(Open.Address, Open.Lease,
                                Epoch{1, this->Config.Host},
                                [](const absl::StatusOr<LeaseReport> &) {});
  } else if (Reason == CancelReason::Requested) {
    this->Claimed.stop(*R);
  }
  this->finish(*R,
               makeError(ErrorKind::Cancelled, "the request was cancelled"));
  return true;
}

// An error must not say "not run" when an earlier attempt ran or may have.
static absl::Status truthful(const LiveRequest &R, const absl::Status &Error) {
  if (!isProvablyNotRun(Error) || (R.UnresolvedStarts == 0 && !R.Ran))
    return Error;
  if (errorKindOf(Error) == ErrorKind::Cancelled)
    return makeError(ErrorKind::CancelledRunning,
                     "the request was cancelled after it was started");
  if (R.UnresolvedStarts == 0)
    return makeError(ErrorKind::TaskFailed, "the task ran and failed");
  return makeError(ErrorKind::OutcomeUnknown,
                   "an attempt was started and its outcome is not known");
}

void RequestTaskImpl::finish(LiveRequest &R,
                             absl::StatusOr<RequestAnswer> Result) {
  if (R.isAnswered())
    return;
  if (!Result.ok())
    Result = truthful(R, Result.status());
  if (R.At == LiveRequest::Stage::Queued)
    this->Queue->cancel(R.Queued);
  ++(Result.ok() ? this->Counters.Answered : this->Counters.Failed);
  this->Config.Exec.post(
      [Done = std::exchange(R.Done, nullptr),
       Value = std::move(Result)]() mutable { Done(std::move(Value)); });
  this->Config.Exec.cancel(R.Watchdog);
  auto Key = this->Keys.find(R.ClaimKey);
  if (Key != this->Keys.end() && Key->second == R.Token)
    this->Keys.erase(Key);
  if (R.OpenSteps == 0)
    this->forget(R);
}

void RequestTaskImpl::endStep(LiveRequest &R) {
  if (--R.OpenSteps == 0 && R.isAnswered())
    this->forget(R);
  this->scheduleDispatch();
}

void RequestTaskImpl::forget(LiveRequest &R) {
  auto Found = this->Live.find(R.Token);
  if (Found == this->Live.end())
    return;
  // Keeps R alive to the end of this call.
  LivePtr Keep = std::move(Found->second);
  this->Config.Exec.cancel(R.Wait);
  this->Tokens.erase(R.Request.Id);
  this->Live.erase(Found);
  this->checkIdle();
}

void RequestTaskImpl::watch(const LivePtr &R) {
  if (R->Watchdog)
    return;
  absl::Time Now = this->Config.Exec.now();
  R->Watchdog = this->Config.Exec.runAfter(
      R->Request.Deadline - Now + DeadlineGrace, [this, Weak = LiveWeak(R)] {
        if (LivePtr Live = Weak.lock())
          this->finish(*Live, makeError(ErrorKind::DeadlineExpired,
                                        "the deadline has passed"));
      });
}

void RequestTaskImpl::requeue(LiveRequest &R) {
  ++this->Counters.Requeued;
  R.At = LiveRequest::Stage::Returned;
  (this->isUrgent(R.Request.Kind) ? this->ReturnedUrgent : this->ReturnedOther)
      .push_back(R.Token);
  this->scheduleDispatch();
  this->scheduleTick(TickInterval);
}

bool RequestTaskImpl::retry(LiveRequest &R, bool NotRun) {
  Executor &Exec = this->Config.Exec;
  auto Wait = this->Retry->onFailure(R.Request.Account,
                                     {R.Attempts, NotRun, R.Request.Repeatable,
                                      R.Request.Deadline - Exec.now()});
  if (!Wait)
    return false;
  ++this->Counters.Retries;
  R.At = LiveRequest::Stage::Backoff;
  Exec.cancel(R.Wait);
  R.Wait = Exec.runAfter(*Wait, [this, Weak = R.weak_from_this()] {
    LivePtr Live = Weak.lock();
    if (Live && !Live->isAnswered())
      this->requeue(*Live);
  });
  return true;
}

bool RequestTaskImpl::takeHedge(LiveRequest &R) {
  if (!this->Retry->takeExtra(R.Request.Account))
    return false;
  ++this->Counters.Hedges;
  return true;
}

void RequestTaskImpl::noteSuccess(LiveRequest &R, absl::Duration RunTime) {
  this->Times.add(R.Request.Kind, RunTime);
  this->Retry->onSuccess(R.Request.Account);
}

absl::Duration RequestTaskImpl::hedgeDelay(const LiveRequest &R) {
  if (!this->Config.Hedging || !this->isUrgent(R.Request.Kind))
    return absl::InfiniteDuration();
  return this->Times.late(R.Request.Kind);
}

absl::Duration RequestTaskImpl::queueDelay() const {
  absl::Duration Longest;
  // A backlog of deferrable work delays no other work.
  for (const auto &[Kind, Share] : this->Settings.Kinds)
    if (!Share.Deferrable)
      Longest = std::max(Longest,
                         this->Queue->drainTime(Kind, this->Config.Exec.now()));
  return Longest;
}

void RequestTaskImpl::updateWorker(const WorkerCapacity &View) {
  this->Table.update(View, this->Config.Exec.now());
  this->scheduleDispatch();
}

void RequestTaskImpl::removeWorker(const WorkerId &Id) {
  this->Table.remove(Id);
}

void RequestTaskImpl::scheduleDispatch() {
  if (this->DispatchScheduled)
    return;
  this->DispatchScheduled = true;
  this->Config.Exec.post([this, Watch = std::weak_ptr<bool>(this->Alive)] {
    if (Watch.expired())
      return;
    this->DispatchScheduled = false;
    this->dispatch();
  });
}

LivePtr RequestTaskImpl::nextReturned(std::deque<uint64_t> &From) {
  while (!From.empty()) {
    auto Found = this->Live.find(From.front());
    From.pop_front();
    // Requests that were answered meanwhile are still listed.
    if (Found != this->Live.end() && !Found->second->isAnswered() &&
        Found->second->At == LiveRequest::Stage::Returned)
      return Found->second;
  }
  return nullptr;
}

bool RequestTaskImpl::isTooLate(const LiveRequest &R) {
  // Running it would only take slots from requests that can still be answered.
  absl::Duration Needed = this->Times.earliest(R.Request.Kind);
  if (this->Config.Exec.now() + Needed <= R.Request.Deadline)
    return false;
  // Some are run all the same, or shorter run times would never be noticed.
  return ++this->TooLate % RunsOneOf != 0;
}

LivePtr RequestTaskImpl::nextRequest(bool UrgentOnly) {
  if (LivePtr R = this->nextReturned(this->ReturnedUrgent))
    return R;
  if (!UrgentOnly)
    if (LivePtr R = this->nextReturned(this->ReturnedOther))
      return R;
  absl::Time Now = this->Config.Exec.now();
  for (int I = 0; I < MaxExpiredInRow; ++I) {
    auto Popped = this->Queue->pop(Now, UrgentOnly);
    if (!Popped)
      return nullptr;
    LivePtr R = this->Live.at(Popped->Token);
    if (!Popped->Expired && !this->isTooLate(*R))
      return R;
    this->finish(*R, makeError(ErrorKind::DeadlineExpired,
                               "the time left does not suffice to run"));
  }
  this->scheduleDispatch();
  return nullptr;
}

bool RequestTaskImpl::isUrgentOnly() const {
  // The baseline has neither a reserve nor a share.
  return this->UrgentReserve > 0 &&
         this->Table.isReserveLeft(this->UrgentReserve, this->HostShare);
}

bool RequestTaskImpl::isUrgentWaiting() const {
  if (this->UrgentReserve <= 0)
    return false;
  if (!this->ReturnedUrgent.empty())
    return true;
  for (const auto &[Id, Kind] : this->Settings.Kinds)
    if (Kind.Urgent && this->Queue->size(Id) > 0)
      return true;
  return false;
}

void RequestTaskImpl::setSlotShare(double Share) {
  this->HostShare = Share;
  this->scheduleDispatch();
}

bool RequestTaskImpl::isShareBinding() const {
  return this->queuedCount() > 0 &&
         this->Table.isShareUsed(this->UrgentReserve, this->HostShare);
}

void RequestTaskImpl::dispatch() {
  for (int I = 0; I < MaxDispatchesInRow; ++I) {
    bool UrgentOnly = this->isUrgentOnly();
    if (this->Table.room() <= 0) {
      if (!this->isUrgentWaiting() ||
          !this->Table.openOldestView(this->Config.Exec.now()))
        return;
      UrgentOnly = true;
    }
    LivePtr R = this->nextRequest(UrgentOnly);
    if (!R)
      return;
    bool Urgent = this->isUrgent(R->Request.Kind);
    auto Place = this->Table.reserve(R->FailedOn, Urgent);
    if (!Place)
      Place = this->Table.reserve({}, Urgent);
    if (!Place)
      return this->requeue(*R);
    this->startOn(R, *Place);
  }
  this->scheduleDispatch();
}

void RequestTaskImpl::startOn(const LivePtr &R,
                              const WorkerTable::Reservation &Place) {
  ++this->Counters.Attempts;
  this->watch(R);
  if (R->Request.Repeatable)
    this->Repeatable.start(R, Place);
  else
    this->Claimed.start(R, Place);
}

void RequestTaskImpl::scheduleTick(absl::Duration Delay) {
  if (this->TickScheduled)
    return;
  this->TickScheduled = true;
  this->Config.Exec.runAfter(Delay,
                             [this, Watch = std::weak_ptr<bool>(this->Alive)] {
                               if (Watch.expired())
                                 return;
                               this->TickScheduled = false;
                               this->tick();
                             });
}

void RequestTaskImpl::tick() {
  absl::Time Now = this->Config.Exec.now();
  bool More = false;
  for (int I = 0; I < MaxExpiredInRow; ++I) {
    auto Token = this->Queue->popExpired(Now);
    More = Token.has_value();
    if (!More)
      break;
    this->finish(*this->Live.at(*Token),
                 makeError(ErrorKind::DeadlineExpired,
                           "the deadline passed in the queue"));
  }
  this->Table.refreshAll(Now);
  this->scheduleDispatch();
  if (this->Queue->size() > 0 || !this->ReturnedUrgent.empty() ||
      !this->ReturnedOther.empty())
    this->scheduleTick(More ? absl::ZeroDuration() : TickInterval);
}

} // namespace vanillayard
