#include "WorkerDriver.h"

#include "WorkerClock.h"

#include <algorithm>
#include <utility>

namespace vanillayard {

/// Longest wait of a renewal for the end of a run. The platform's upper limit.
static constexpr absl::Duration RenewWait = absl::Milliseconds(2000);
/// Time for the answer to a stop, and to a renewal beyond its wait.
static constexpr absl::Duration CallTimeout = absl::Milliseconds(1000);
/// Time for the answer to a start, which workers give in milliseconds. All
/// sendings together stay below the time for which the members of a gang wait
/// for each other, 3 s in the platform's settings.
static constexpr absl::Duration StartTimeout = absl::Milliseconds(500);
/// Further sendings of a start that is not answered.
static constexpr int MaxStartRepeats = 2;
/// A call without an answer may be carried out this much later. From the
/// platform's description of late orders, 12 s, and the time of a call.
static constexpr absl::Duration LongestOrderDelay = absl::Seconds(13);
/// Pause after a renewal that failed.
static constexpr absl::Duration RetryDelay = absl::Milliseconds(300);

WorkerDriver::WorkerDriver(Executor &Exec, WorkerGateway &Gateway,
                           Owner &Target, const WorkerEntry &Entry,
                           absl::Time LeaseEndsBy)
    : Exec(Exec), Gateway(Gateway), Target(Target), Entry(Entry),
      Clock(Entry.Clock), ClockAt(Exec.now()), LeaseEndsBy(LeaseEndsBy) {}

void WorkerDriver::noteClock(absl::Duration Reading) {
  absl::Time Now = this->Exec.now();
  // A registration may have been written long ago. What is known already says
  // more then.
  absl::Duration AtLeast =
      this->Clock + (Now - this->ClockAt) * SlowestWorkerClock;
  if (Reading < AtLeast)
    return;
  this->Clock = Reading;
  this->ClockAt = Now;
}

/// Whether a reading that was taken after \p SentAt is below what the clock
/// showed then, so that the worker must have started anew.
bool WorkerDriver::isEarlierThanKnown(absl::Duration Reading,
                                      absl::Time SentAt) const {
  absl::Duration Since = SentAt - this->ClockAt;
  double Rate =
      Since > absl::ZeroDuration() ? SlowestWorkerClock : FastestWorkerClock;
  return Reading < this->Clock + Since * Rate;
}

/// A new incarnation knows nothing of before. It may hold runs that were
/// ordered before its start was noticed; its next report tells which.
void WorkerDriver::reset(int64_t Incarnation) {
  absl::Time Now = this->Exec.now();
  this->Entry.Incarnation = Incarnation;
  this->Clock = absl::ZeroDuration();
  this->ClockAt = Now;
  this->LeaseEndsBy =
      std::max(this->LeaseEndsBy,
               Now + this->Target.leaseAllowance() / SlowestWorkerClock);
  this->HasReported = false;
  this->TakenEnd = 0;
  this->RecordedEnd = 0;
  this->ToldEnd = 0;
  this->restForLateAcknowledgement();
  this->Target.restarted(this->Entry.Id);
}

/// The new incarnation numbers its ends from 1 again. An acknowledgement that
/// was meant for the earlier one, and is carried out late, would make it forget
/// ends that nobody has seen; so no run may end before that.
void WorkerDriver::restForLateAcknowledgement() {
  absl::Time Until = this->OpenAcknowledgementAt + LongestOrderDelay;
  if (Until <= this->Exec.now())
    return;
  this->RestsUntil = Until;
  this->Exec.runAfter(Until - this->Exec.now(),
                      [Weak = this->weak_from_this()] {
                        std::shared_ptr<WorkerDriver> Self = Weak.lock();
                        if (Self && !Self->IsClosed)
                          Self->Target.usabilityChanged(Self->Entry.Id);
                      });
}

void WorkerDriver::update(const WorkerEntry &Newer) {
  int64_t Known = this->Entry.Incarnation;
  // A registration may be older than what the worker has said itself.
  if (Newer.Incarnation < Known)
    return;
  this->Entry = Newer;
  if (Newer.Incarnation > Known && Known != 0)
    this->reset(Newer.Incarnation);
  this->noteClock(Newer.Clock);
  this->pump();
}

/// End of the longest lease that may be given now, on the worker's clock.
absl::Duration WorkerDriver::leaseUntil() {
  absl::Time Now = this->Exec.now();
  absl::Duration Allowed = this->Target.leaseAllowance();
  absl::Duration Until = this->Clock + (Now - this->ClockAt) + Allowed;
  absl::Time EndsBy =
      this->ClockAt + (Until - this->Clock) / SlowestWorkerClock;
  this->LeaseEndsBy = std::max(this->LeaseEndsBy, EndsBy);
  return Until;
}

bool WorkerDriver::needsRenewal() const {
  if (this->TakenEnd > this->RecordedEnd)
    return false;
  return !this->HasReported || this->RecordedEnd > this->ToldEnd ||
         this->Target.hasRuns(this->Entry.Id);
}

void WorkerDriver::pump() {
  if (this->IsClosed || this->IsRenewing || this->IsRetryPending ||
      !this->needsRenewal() ||
      this->Target.leaseAllowance() <= absl::ZeroDuration())
    return;
  // Repeating an old number could make a new incarnation, which counts from 1
  // again, forget ends that nobody has seen.
  bool IsDue = this->HasReported && this->RecordedEnd > this->ToldEnd;
  if (IsDue && this->StartsUnderWay > 0)
    return;
  this->IsRenewing = true;
  this->IsAcknowledging = IsDue;
  bool MayWait =
      !IsDue && this->HasReported && this->Target.hasRuns(this->Entry.Id);
  WorkerGateway::Renewal Request;
  Request.Fence = this->Target.fence();
  // The lease of a worker that does not answer must run out: other runs of its
  // tasks wait for that.
  if (this->HasReported)
    Request.LeaseUntil = this->leaseUntil();
  if (IsDue)
    Request.AcknowledgedEnd = this->RecordedEnd;
  Request.Wait = MayWait ? RenewWait : absl::ZeroDuration();
  EndMark Told{this->Entry.Incarnation, Request.AcknowledgedEnd};
  absl::Time AskedAt = this->Exec.now();
  absl::Time OpenBefore = this->OpenAcknowledgementAt;
  if (Told.Sequence > 0)
    this->OpenAcknowledgementAt = AskedAt;
  auto Answered = [Weak = this->weak_from_this(), Told, AskedAt,
                   OpenBefore](const RenewReply &Reply) {
    std::shared_ptr<WorkerDriver> Self = Weak.lock();
    if (!Self || Self->IsClosed)
      return;
    Self->IsRenewing = false;
    Self->IsAcknowledging = false;
    Self->acknowledgementAnswered(Told, Reply.Answer, OpenBefore);
    Self->renewed(Reply, AskedAt);
    Self->releaseStarts();
    Self->pump();
  };
  this->Gateway.renew(this->target(), Request, Request.Wait + CallTimeout,
                      std::move(Answered));
}

/// \param OpenBefore when the newest earlier one was left unanswered.
void WorkerDriver::acknowledgementAnswered(const EndMark &Told,
                                           OrderAnswer Answer,
                                           absl::Time OpenBefore) {
  if (Told.Sequence > 0 && Answer != OrderAnswer::Unknown)
    this->OpenAcknowledgementAt = OpenBefore;
  if (Answer == OrderAnswer::Accepted &&
      Told.Incarnation == this->Entry.Incarnation)
    this->ToldEnd = std::max(this->ToldEnd, Told.Sequence);
}

void WorkerDriver::renewed(const RenewReply &Reply, absl::Time AskedAt) {
  if (Reply.Answer == OrderAnswer::Fenced)
    return this->Target.fenced();
  if (Reply.Answer != OrderAnswer::Accepted) {
    this->suspect();
    return this->retryLater();
  }
  const WorkerReport &Report = Reply.Report;
  if (Report.Incarnation != 0 && Report.Incarnation < this->Entry.Incarnation)
    return this->retryLater();
  if (Report.Incarnation > this->Entry.Incarnation) {
    bool WasKnown = this->Entry.Incarnation != 0;
    this->Entry.Incarnation = Report.Incarnation;
    if (WasKnown)
      this->reset(Report.Incarnation);
  }
  this->noteClock(Report.Clock);
  this->HasReported = true;
  this->Target.reported(this->Entry.Id, Report, AskedAt);
}

/// An unanswered call may mean that the worker has crashed. Nothing more is
/// started before its next report, which would tell of a new incarnation.
void WorkerDriver::suspect() {
  if (!this->HasReported)
    return;
  this->HasReported = false;
  this->Target.usabilityChanged(this->Entry.Id);
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
    Self->pump();
  });
}

void WorkerDriver::checkLease() {
  if (this->Exec.now() < this->LeaseEndsBy)
    return;
  if (this->Target.hasRuns(this->Entry.Id))
    this->Target.runsLost(this->Entry.Id);
}

void WorkerDriver::acknowledge(const EndMark &Mark) {
  if (Mark.Incarnation != this->Entry.Incarnation)
    return;
  this->RecordedEnd = std::max(this->RecordedEnd, Mark.Sequence);
  this->pump();
}

void WorkerDriver::start(const StartOrder &Order) {
  if (!this->IsAcknowledging)
    return this->sendStart(Order);
  // The run counts as one that the worker may hold from now on.
  this->leaseUntil();
  this->HeldStarts.push_back(Order);
}

void WorkerDriver::releaseStarts() {
  for (const StartOrder &Order : std::exchange(this->HeldStarts, {})) {
    if (this->mayTakeRuns() && this->Target.mayStart(Order))
      this->sendStart(Order);
    else
      this->Target.startAnswered(Order, OrderAnswer::Unavailable);
  }
}

void WorkerDriver::sendStart(const StartOrder &Order, int Repeats) {
  ++this->StartsUnderWay;
  absl::Time SentAt = this->Exec.now();
  this->Gateway.start(this->target(), Order, this->Target.fence(),
                      this->leaseUntil(), StartTimeout,
                      [Weak = this->weak_from_this(), Order, SentAt,
                       Repeats](const OrderReply &Reply) {
                        std::shared_ptr<WorkerDriver> Self = Weak.lock();
                        if (Self && !Self->IsClosed)
                          Self->startAnswered(Order, Reply, SentAt, Repeats);
                      });
}

void WorkerDriver::startAnswered(const StartOrder &Order, OrderReply Reply,
                                 absl::Time SentAt, int Repeats) {
  --this->StartsUnderWay;
  bool IsNewLife =
      Reply.Clock && this->isEarlierThanKnown(*Reply.Clock, SentAt);
  if (Reply.Clock && !IsNewLife)
    this->noteClock(*Reply.Clock);
  // The worker starts a run once, however often it is told to.
  bool MayRepeat = Repeats < MaxStartRepeats && this->Target.mayStart(Order);
  if (Reply.Answer == OrderAnswer::Unknown && MayRepeat)
    return this->sendStart(Order, Repeats + 1);
  // A refusal of a repeated order says nothing of the sendings before it: the
  // run may have begun and ended, or may still begin.
  if (Repeats > 0 && Reply.Answer != OrderAnswer::Accepted &&
      Reply.Answer != OrderAnswer::Fenced)
    Reply.Answer = OrderAnswer::Unknown;
  if (IsNewLife || Reply.Answer == OrderAnswer::Unknown ||
      Reply.Answer == OrderAnswer::WrongIncarnation)
    this->suspect();
  this->Target.startAnswered(Order, Reply.Answer);
  if (Reply.Answer == OrderAnswer::Fenced)
    return this->Target.fenced();
  this->pump();
}

void WorkerDriver::stop(const StopOrder &Order) {
  this->Gateway.stop(this->target(), Order, this->Target.fence(), CallTimeout,
                     [Weak = this->weak_from_this(), Order](OrderReply Reply) {
                       std::shared_ptr<WorkerDriver> Self = Weak.lock();
                       if (!Self || Self->IsClosed)
                         return;
                       if (Reply.Clock)
                         Self->noteClock(*Reply.Clock);
                       if (Reply.Answer == OrderAnswer::Fenced)
                         return Self->Target.fenced();
                       Self->Target.stopAnswered(
                           Order, Reply.Answer == OrderAnswer::Accepted);
                     });
}

} // namespace vanillayard
