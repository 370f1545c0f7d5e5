#include "WorkerDriver.h"

#include "WorkerClock.h"

#include <algorithm>
#include <utility>

namespace vanillayard {

/// Maximum time that a renewal waits for a run to end. The platform's upper
/// limit.
static constexpr absl::Duration RenewWait = absl::Milliseconds(2000);
/// Timeout of a stop order, and of a renewal in addition to its wait.
static constexpr absl::Duration CallTimeout = absl::Milliseconds(1000);
/// Timeout of one start order, which workers answer within milliseconds. All
/// attempts together must stay below the time for which the members of a gang
/// wait for each other, 3 s in the platform's settings.
static constexpr absl::Duration StartTimeout = absl::Milliseconds(500);
/// Maximum number of retries of a start order that is not answered.
static constexpr int MaxStartRetries = 2;
/// Time from a report to the next renewal while ends wait to be recorded, which
/// is long only in an outage of the store.
static constexpr absl::Duration UnrecordedPollInterval =
    absl::Milliseconds(700);
/// Delay before a failed renewal is retried.
static constexpr absl::Duration RetryDelay = absl::Milliseconds(300);

WorkerDriver::WorkerDriver(Executor &Exec, WorkerGateway &Gateway,
                           Owner &OwnerRef,
                           const WorkerRegistration &Registration,
                           absl::Time LeaseEndsBy, absl::Time EarlierCallsUntil,
                           absl::Duration LongestLease)
    : Exec(Exec), Gateway(Gateway), OwnerRef(OwnerRef),
      Registration(Registration), ClockAt(Exec.now()),
      IncarnationSeenAt(Exec.now()), LeaseBound(LongestLease, LeaseEndsBy),
      EarlierCallsUntil(EarlierCallsUntil), LongestLease(LongestLease) {
  this->coverCallsOfEarlierLeaders();
}

/// An incarnation that began while an earlier leader sent calls may have
/// received some that were meant for the former incarnation, and so have its
/// longest lease. Such calls reach it within LongestOrderDelay of its start.
void WorkerDriver::coverCallsOfEarlierLeaders() {
  if (this->Registration.Incarnation == 0)
    return;
  absl::Time Born = absl::FromUnixMillis(this->Registration.Incarnation);
  this->LeaseBound.extend(WorkerLeaseBound::longestLeaseEnd(
      std::min(this->EarlierCallsUntil, Born + LongestOrderDelay),
      this->LongestLease));
}

/// Applies a reading of this incarnation.
void WorkerDriver::noteWorkerClock(absl::Duration Reading) {
  absl::Time Now = this->Exec.now();
  // An answer that was delayed may show less than the known lower bound; the
  // bound is more precise then.
  absl::Duration AtLeast =
      this->Clock + (Now - this->ClockAt) * SlowestWorkerClock;
  if (this->IsClockReported && Reading < AtLeast)
    return;
  this->Clock = Reading;
  this->ClockAt = Now;
  this->IsClockReported = true;
}

/// Applies the reading in the answer to an order that was sent at \p SentAt. An
/// order that was sent before this incarnation was known may have been answered
/// by the one before, whose clock is ahead.
void WorkerDriver::noteAnsweredClock(absl::Duration Reading,
                                     absl::Time SentAt) {
  if (this->IsClockReported && SentAt >= this->IncarnationSeenAt)
    this->noteWorkerClock(Reading);
}

/// Applies the reading of a registration, which another program may have
/// written, if the worker's own readings allow it. A reading that is too high
/// would make leases end later than this leader expects.
void WorkerDriver::noteRegisteredClock(absl::Duration Reading) {
  absl::Duration AtMost =
      this->Clock + (this->Exec.now() - this->ClockAt) * FastestWorkerClock;
  if (this->IsClockReported && Reading <= AtMost)
    this->noteWorkerClock(Reading);
}

/// Lowest reading that the clock of the known incarnation can show now. A lower
/// one in an answer to a call that is sent now means that the worker has
/// restarted.
absl::Duration WorkerDriver::lowestClockNow() const {
  return this->Clock + (this->Exec.now() - this->ClockAt) * SlowestWorkerClock -
         WorkerClockResolution;
}

/// Discards the state kept for the previous incarnation. The new incarnation
/// may have runs that were ordered before the restart was noticed; its next
/// report lists them.
void WorkerDriver::beginIncarnation(int64_t Incarnation) {
  absl::Time Now = this->Exec.now();
  this->Registration.Incarnation = Incarnation;
  this->IncarnationSeenAt = Now;
  this->IsIncarnationReported = false;
  this->Clock = absl::ZeroDuration();
  this->ClockAt = Now;
  this->IsClockReported = false;
  this->LeaseBound.incarnationEnded();
  this->coverCallsOfEarlierLeaders();
  this->IsIncarnationOver = false;
  this->HasReported = false;
  this->ProcessedEnd = 0;
  this->RecordedEnd = 0;
  this->AcknowledgedEnd = 0;
  this->blockStartsForLateAcknowledgement();
  this->OwnerRef.restarted(this->Registration.Id);
}

/// Starts no run on a new incarnation while it may still execute an
/// acknowledgement that was sent to the previous one. The new incarnation
/// numbers its ends from 1 again, so a late acknowledgement would make it
/// forget ends that it has not reported yet.
void WorkerDriver::blockStartsForLateAcknowledgement() {
  absl::Time Until = this->PendingAcknowledgementSentAt + LongestOrderDelay;
  if (Until <= this->Exec.now())
    return;
  this->StartsBlockedUntil = Until;
  this->Exec.runAfter(
      Until - this->Exec.now(), [Weak = this->weak_from_this()] {
        std::shared_ptr<WorkerDriver> Self = Weak.lock();
        if (Self && !Self->IsClosed)
          Self->OwnerRef.usabilityChanged(Self->Registration.Id);
      });
}

void WorkerDriver::update(const WorkerRegistration &Newer) {
  int64_t Known = this->Registration.Incarnation;
  // A registration may be older than the worker's own latest report.
  if (Newer.Incarnation < Known ||
      (Newer.Incarnation != 0 && Newer.Incarnation == this->RefutedIncarnation))
    return;
  this->Registration = Newer;
  if (Newer.Incarnation > Known && Known != 0)
    this->beginIncarnation(Newer.Incarnation);
  this->noteRegisteredClock(Newer.Clock);
  this->renewIfNeeded();
}

/// Applies the incarnation that a report shows.
/// \returns false if the report is of an earlier incarnation.
bool WorkerDriver::adoptReportedIncarnation(int64_t Incarnation,
                                            absl::Time AskedAt) {
  int64_t Known = this->Registration.Incarnation;
  if (Incarnation != 0 && Incarnation < Known) {
    // A worker that is asked after its new incarnation was registered cannot
    // answer as an earlier one, so the registration was wrong.
    bool IsRefuted =
        !this->IsIncarnationReported && AskedAt > this->IncarnationSeenAt;
    if (!IsRefuted)
      return false;
    this->RefutedIncarnation = Known;
    this->beginIncarnation(Incarnation);
  } else if (Incarnation > Known) {
    this->Registration.Incarnation = Incarnation;
    if (Known != 0)
      this->beginIncarnation(Incarnation);
  }
  this->IsIncarnationReported = true;
  return true;
}

/// The longest lease that may be granted now.
WorkerDriver::Lease WorkerDriver::longestLeaseNow() const {
  absl::Duration Until = this->Clock + (this->Exec.now() - this->ClockAt) +
                         this->OwnerRef.maxWorkerLease();
  return {Until, this->ClockAt + (Until - this->Clock) / SlowestWorkerClock};
}

bool WorkerDriver::needsRenewal() const {
  // The worker answers at once while it lists ends that cannot be acknowledged
  // yet, so it is polled only now and then, for its lease and further ends.
  if (this->ProcessedEnd > this->RecordedEnd)
    return this->OwnerRef.hasRuns(this->Registration.Id) &&
           this->Exec.now() >= this->ReportedAt + UnrecordedPollInterval;
  return !this->HasReported || this->RecordedEnd > this->AcknowledgedEnd ||
         this->OwnerRef.hasRuns(this->Registration.Id);
}

void WorkerDriver::renewIfNeeded() {
  if (this->IsClosed || this->IsRenewing || this->IsRetryPending ||
      !this->needsRenewal() ||
      this->OwnerRef.maxWorkerLease() <= absl::ZeroDuration())
    return;
  // Acknowledges each number only until the worker accepts it. A new
  // incarnation counts from 1 again, so an old number could make it forget ends
  // that it has not reported yet.
  bool HasEndsToAcknowledge =
      this->HasReported && this->RecordedEnd > this->AcknowledgedEnd;
  if (HasEndsToAcknowledge && this->StartsInFlight > 0)
    return;
  this->IsRenewing = true;
  this->IsAcknowledging = HasEndsToAcknowledge;
  bool MayWait = !HasEndsToAcknowledge && this->HasReported &&
                 this->ProcessedEnd <= this->RecordedEnd &&
                 this->OwnerRef.hasRuns(this->Registration.Id);
  WorkerGateway::Renewal Request;
  Request.Fence = this->OwnerRef.fence();
  if (HasEndsToAcknowledge)
    Request.AcknowledgedEnd = this->RecordedEnd;
  Request.Wait = MayWait ? RenewWait : absl::ZeroDuration();
  absl::Duration Timeout = Request.Wait + CallTimeout;
  RunEndCursor Acknowledged{this->Registration.Incarnation,
                            Request.AcknowledgedEnd};
  absl::Time AskedAt = this->Exec.now();
  // The lease of a worker that does not answer must expire, because its tasks
  // can run elsewhere only after that.
  std::optional<WorkerLeaseBound::CallId> LeaseCall;
  if (this->HasReported) {
    Lease Granted = this->longestLeaseNow();
    Request.LeaseUntil = Granted.Until;
    LeaseCall =
        this->LeaseBound.callSent(Granted.EndsBy, AskedAt, AskedAt + Timeout);
  }
  absl::Time PendingBefore = this->PendingAcknowledgementSentAt;
  if (Acknowledged.Sequence > 0)
    this->PendingAcknowledgementSentAt = AskedAt;
  auto Answered = [Weak = this->weak_from_this(), Acknowledged, AskedAt,
                   LeaseCall, PendingBefore](const RenewReply &Reply) {
    std::shared_ptr<WorkerDriver> Self = Weak.lock();
    if (!Self || Self->IsClosed)
      return;
    Self->IsRenewing = false;
    Self->IsAcknowledging = false;
    if (LeaseCall)
      Self->leaseCallAnswered(*LeaseCall, Acknowledged.Incarnation, Reply);
    Self->acknowledgementAnswered(Acknowledged, Reply.Answer, PendingBefore);
    Self->renewalAnswered(Reply, AskedAt);
    Self->sendHeldStarts();
    Self->renewIfNeeded();
  };
  this->Gateway.renew(this->target(), Request, Timeout, std::move(Answered));
}

/// \param Target incarnation that the renewal was meant for.
void WorkerDriver::leaseCallAnswered(WorkerLeaseBound::CallId Call,
                                     int64_t Target, const RenewReply &Reply) {
  if (Reply.Answer == OrderAnswer::Unknown)
    this->LeaseBound.unanswered(Call);
  else if (Reply.Answer == OrderAnswer::Accepted && Target != 0 &&
           Reply.Report.Incarnation != Target)
    this->LeaseBound.answeredByLaterIncarnation(Call, this->Exec.now());
  else
    this->LeaseBound.answeredByTarget(Call);
}

/// \param PendingBefore when the latest earlier acknowledgement that the worker
///        may still execute was sent.
void WorkerDriver::acknowledgementAnswered(const RunEndCursor &Acknowledged,
                                           OrderAnswer Answer,
                                           absl::Time PendingBefore) {
  if (Acknowledged.Sequence > 0 && Answer != OrderAnswer::Unknown)
    this->PendingAcknowledgementSentAt = PendingBefore;
  if (Answer == OrderAnswer::Accepted &&
      Acknowledged.Incarnation == this->Registration.Incarnation)
    this->AcknowledgedEnd =
        std::max(this->AcknowledgedEnd, Acknowledged.Sequence);
}

void WorkerDriver::renewalAnswered(const RenewReply &Reply,
                                   absl::Time AskedAt) {
  if (Reply.Answer == OrderAnswer::Fenced)
    return this->OwnerRef.fenced();
  if (Reply.Answer != OrderAnswer::Accepted) {
    this->markSuspected();
    return this->retryLater();
  }
  const WorkerReport &Report = Reply.Report;
  if (!this->adoptReportedIncarnation(Report.Incarnation, AskedAt))
    return this->retryLater();
  this->LeaseBound.incarnationConfirmed(AskedAt);
  this->noteWorkerClock(Report.Clock);
  // A report that was asked for earlier may be the last one of the incarnation.
  if (AskedAt >= this->IncarnationOverAt)
    this->IsIncarnationOver = false;
  this->HasReported = !this->IsIncarnationOver;
  this->HasEverReported = true;
  this->ReportedAt = this->Exec.now();
  this->OwnerRef.reported(this->Registration.Id, Report, AskedAt);
}

/// Starts no more runs on the worker before its next report. An unanswered call
/// may mean that the worker has crashed; the report shows whether it is a new
/// incarnation.
void WorkerDriver::markSuspected() {
  if (!this->HasReported)
    return;
  this->HasReported = false;
  this->OwnerRef.usabilityChanged(this->Registration.Id);
}

void WorkerDriver::retryLater() {
  if (this->IsRetryPending)
    return;
  this->IsRetryPending = true;
  this->Exec.runAfter(RetryDelay, [Weak = this->weak_from_this()] {
    std::shared_ptr<WorkerDriver> Self = Weak.lock();
    if (!Self)
      return;
    Self->IsRetryPending = false;
    Self->renewIfNeeded();
  });
}

void WorkerDriver::checkLease() {
  if (this->Exec.now() < this->leaseEndsBy())
    return;
  if (this->OwnerRef.hasRuns(this->Registration.Id))
    this->OwnerRef.runsLost(this->Registration.Id);
}

void WorkerDriver::acknowledge(const RunEndCursor &Cursor) {
  if (Cursor.Incarnation != this->Registration.Incarnation)
    return;
  this->RecordedEnd = std::max(this->RecordedEnd, Cursor.Sequence);
  this->renewIfNeeded();
}

void WorkerDriver::start(const StartOrder &Order) {
  if (!this->IsAcknowledging && !this->IsIncarnationOver)
    return this->sendStart(Order);
  // From now on the worker may have this run, so the lease bound must cover it.
  this->LeaseBound.extend(this->longestLeaseNow().EndsBy);
  this->HeldStarts.push_back(Order);
}

void WorkerDriver::sendHeldStarts() {
  for (const StartOrder &Order : std::exchange(this->HeldStarts, {})) {
    if (this->mayTakeRuns() && this->OwnerRef.mayStart(Order))
      this->sendStart(Order);
    else
      this->OwnerRef.startAnswered(Order, OrderAnswer::Unavailable,
                                   absl::InfinitePast());
  }
}

void WorkerDriver::sendStart(const StartOrder &Order, int Retries) {
  ++this->StartsInFlight;
  absl::Time SentAt = this->Exec.now();
  Lease Granted = this->longestLeaseNow();
  StartAttempt Attempt{
      SentAt, this->lowestClockNow(),
      this->LeaseBound.callSent(Granted.EndsBy, SentAt, SentAt + StartTimeout),
      Retries};
  this->Gateway.start(
      this->target(), Order, this->OwnerRef.fence(), Granted.Until,
      StartTimeout,
      [Weak = this->weak_from_this(), Order, Attempt](const OrderReply &Reply) {
        std::shared_ptr<WorkerDriver> Self = Weak.lock();
        if (Self && !Self->IsClosed)
          Self->startAnswered(Order, Reply, Attempt);
      });
}

/// Applies what the answer shows about the incarnation that has sent it.
/// \param IsLater whether it is a later one than the order was meant for.
void WorkerDriver::noteAnsweringIncarnation(const OrderReply &Reply,
                                            const StartAttempt &Attempt,
                                            bool IsLater) {
  if (Reply.Answer == OrderAnswer::Unknown)
    return this->LeaseBound.unanswered(Attempt.LeaseCall);
  if (!IsLater)
    return this->LeaseBound.answeredByTarget(Attempt.LeaseCall);
  this->LeaseBound.answeredByLaterIncarnation(Attempt.LeaseCall,
                                              this->Exec.now());
  // A report may have shown the later incarnation already.
  if (Attempt.SentAt < this->IncarnationSeenAt)
    return;
  this->IsIncarnationOver = true;
  this->IncarnationOverAt = this->Exec.now();
  this->LeaseBound.incarnationEnded();
}

void WorkerDriver::startAnswered(const StartOrder &Order, OrderReply Reply,
                                 const StartAttempt &Attempt) {
  --this->StartsInFlight;
  bool HasRestarted = Reply.Clock && *Reply.Clock < Attempt.ClockAtLeast;
  this->noteAnsweringIncarnation(Reply, Attempt, HasRestarted);
  if (Reply.Clock && !HasRestarted)
    this->noteAnsweredClock(*Reply.Clock, Attempt.SentAt);
  // A start order is idempotent: the worker starts each run only once.
  bool MayRetry = Attempt.Retries < MaxStartRetries &&
                  !this->IsIncarnationOver && this->OwnerRef.mayStart(Order);
  if (Reply.Answer == OrderAnswer::Unknown && MayRetry)
    return this->sendStart(Order, Attempt.Retries + 1);
  // If a worker refuses a retry, the outcome of earlier attempts stays unknown:
  // the run may have started and ended, or may still start.
  if (Attempt.Retries > 0 && Reply.Answer != OrderAnswer::Accepted &&
      Reply.Answer != OrderAnswer::Fenced)
    Reply.Answer = OrderAnswer::Unknown;
  if (HasRestarted || Reply.Answer == OrderAnswer::Unknown ||
      Reply.Answer == OrderAnswer::WrongIncarnation)
    this->markSuspected();
  this->OwnerRef.startAnswered(
      Order, Reply.Answer,
      WorkerLeaseBound::longestLeaseEnd(Attempt.SentAt + StartTimeout,
                                        this->LongestLease));
  if (Reply.Answer == OrderAnswer::Fenced)
    return this->OwnerRef.fenced();
  this->renewIfNeeded();
}

void WorkerDriver::stop(const StopOrder &Order) {
  this->Gateway.stop(this->target(), Order, this->OwnerRef.fence(), CallTimeout,
                     [Weak = this->weak_from_this(), Order,
                      SentAt = this->Exec.now()](OrderReply Reply) {
                       std::shared_ptr<WorkerDriver> Self = Weak.lock();
                       if (!Self || Self->IsClosed)
                         return;
                       if (Reply.Clock)
                         Self->noteAnsweredClock(*Reply.Clock, SentAt);
                       if (Reply.Answer == OrderAnswer::Fenced)
                         return Self->OwnerRef.fenced();
                       Self->OwnerRef.stopAnswered(
                           Order, Reply.Answer == OrderAnswer::Accepted);
                     });
}

} // namespace vanillayard
