#include "AtMostOnceRunner.h"

#include "RunnerContext.h"
#include "base/ErrorKind.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace vanillayard {

// Added to the time until the deadline, so that the lease does not expire
// during the run. If this host crashes, the worker ends the lease at its
// expiry.
static constexpr absl::Duration LeaseMargin = absl::Seconds(5);
static constexpr absl::Duration FirstPollDelay = absl::Milliseconds(50);
static constexpr int MaxPollDoublings = 4;
static constexpr absl::Duration InProgressRetryAfter = absl::Seconds(1);
// In bytes before Base64 encoding; the encoded answer stays below the store's
// limit of 1 MB for a value.
static constexpr size_t MaxStoredAnswerBytes = 700000;

void AtMostOnceRunner::start(const LivePtr &R,
                             const WorkerTable::Reservation &Slot) {
  R->CurrentStage = LiveRequest::Stage::Running;
  R->Slot = Slot;
  ++R->PendingOperations;
  this->lookUpClaim(*R);
}

bool AtMostOnceRunner::isAnsweredOrExpired(LiveRequest &R) {
  if (!R.isAnswered() && this->Context.executor().now() >= R.Request.Deadline)
    this->Context.answerCaller(
        R, makeError(ErrorKind::DeadlineExpired,
                     "the deadline passed before the request was started"));
  return R.isAnswered();
}

void AtMostOnceRunner::answerAndEnd(LiveRequest &R,
                                    absl::StatusOr<RequestAnswer> Result) {
  this->releaseSlot(R);
  this->Context.answerCaller(R, std::move(Result));
  this->Context.endOperation(R);
}

void AtMostOnceRunner::endAnswered(LiveRequest &R) {
  this->releaseSlot(R);
  this->Context.endOperation(R);
}

void AtMostOnceRunner::releaseSlot(LiveRequest &R, int FreeSlots) {
  if (!R.Slot)
    return;
  this->Context.workerTable().release(*R.Slot, FreeSlots,
                                      this->Context.executor().now());
  R.Slot.reset();
}

void AtMostOnceRunner::releaseLease(const Endpoint &Address,
                                    const LeaseId &Lease) {
  this->Context.workerClient().release(
      Address, Lease, [](const absl::StatusOr<LeaseReport> &) {});
}

void AtMostOnceRunner::lookUpClaim(LiveRequest &R) {
  if (this->isAnsweredOrExpired(R))
    return this->endAnswered(R);
  this->Claims.find(
      R.ClaimKey,
      [this, Weak = R.weak_from_this()](
          absl::StatusOr<std::optional<ClaimStore::StoredClaim>> Found) {
        LivePtr Live = Weak.lock();
        if (!Live)
          return;
        if (!Found.ok()) {
          // The worker of this submission's own claim can be asked while the
          // store is down.
          if (Live->UnresolvedStarts > 0 && Live->Claim)
            return this->revokeLease(*Live);
          return this->answerAndEnd(*Live, Found.status());
        }
        if (!*Found)
          return this->acquireLease(*Live, 0);
        this->onClaimFound(*Live, **Found);
      });
}

void AtMostOnceRunner::onClaimFound(LiveRequest &R,
                                    const ClaimStore::StoredClaim &Claim) {
  if (Claim.Record.Digest != R.Digest)
    return this->answerAndEnd(
        R, makeError(ErrorKind::KeyReused,
                     "the idempotency key was used for a request with a "
                     "different kind or body"));
  // A newer claim with another lease proves that this submission's start did
  // not run: a claim is replaced only after its worker answered that it was
  // never started. A record older than the own claim proves nothing, because
  // reads may be stale.
  if (Claim.ModRevision > R.OwnRevision && Claim.Record.Lease != R.Lease)
    R.UnresolvedStarts = 0;
  R.Claim = Claim;
  const ClaimRecord &Record = Claim.Record;
  switch (Record.State) {
  case ClaimState::Finished:
    if (!Record.Answer)
      return this->fetchResult(R);
    return this->answerAndEnd(
        R, RequestAnswer{R.Request.Id, *Record.Answer, Record.Worker});
  case ClaimState::Failed:
    return this->answerAndEnd(
        R, makeError(ErrorKind::TaskFailed, "the task failed"));
  case ClaimState::NotStarted:
    return this->acquireLease(R, Claim.ModRevision);
  case ClaimState::Claimed:
    return this->revokeLease(R);
  }
}

void AtMostOnceRunner::revokeLease(LiveRequest &R) {
  const ClaimRecord &Record = R.Claim->Record;
  this->Context.workerClient().revoke(
      Record.Address, Record.Lease,
      [this,
       Weak = R.weak_from_this()](const absl::StatusOr<RevokeResult> &Result) {
        if (LivePtr Live = Weak.lock())
          this->onRevoked(*Live, Result.value_or(RevokeResult::Unknown));
      });
}

void AtMostOnceRunner::onRevoked(LiveRequest &R, RevokeResult Result) {
  switch (Result) {
  case RevokeResult::NeverStarted:
    if (R.Claim->Record.Lease == R.Lease)
      R.UnresolvedStarts = 0;
    return this->acquireLease(R, R.Claim->ModRevision);
  case RevokeResult::Finished:
    return this->fetchResult(R);
  case RevokeResult::Running:
    return this->pollLater(R, true);
  case RevokeResult::Unknown:
    return this->pollLater(R, false);
  }
}

void AtMostOnceRunner::fetchResult(LiveRequest &R) {
  const ClaimRecord &Record = R.Claim->Record;
  this->Context.workerClient().query(
      Record.Address, Record.Lease,
      [this, Weak = R.weak_from_this()](absl::StatusOr<TaskResult> Result) {
        LivePtr Live = Weak.lock();
        if (!Live)
          return;
        if (!Result.ok() &&
            errorKindOf(Result.status()) == ErrorKind::TaskFailed)
          return this->conclude(*Live, Result.status());
        if (!Result.ok() || Result->Lease != Live->Claim->Record.Lease)
          return this->pollLater(*Live, false);
        if (Result->State == LeaseState::Finished)
          return this->conclude(*Live, std::move(Result->Body));
        if (Result->State == LeaseState::Failed ||
            Result->State == LeaseState::Stopped)
          return this->conclude(*Live, makeError(ErrorKind::TaskFailed,
                                                 "the task did not finish"));
        this->pollLater(*Live, Result->State == LeaseState::Running);
      });
}

void AtMostOnceRunner::pollLater(LiveRequest &R, bool Running) {
  this->releaseSlot(R);
  Executor &Exec = this->Context.executor();
  int Doublings = std::min(R.Polls++, MaxPollDoublings);
  absl::Duration Delay = FirstPollDelay * (1 << Doublings);
  if (Exec.now() + Delay >= R.Request.Deadline) {
    bool Other = R.Claim && R.Claim->Record.Request != R.Request.Id;
    if (Running && Other)
      return this->answerAndEnd(R,
                                makeError(ErrorKind::InProgress,
                                          "an earlier submission with the same "
                                          "idempotency key is still running",
                                          InProgressRetryAfter));
    return this->answerAndEnd(
        R, makeError(ErrorKind::OutcomeUnknown,
                     "the worker of the claim did not report "
                     "whether the request was started"));
  }
  Exec.cancel(R.DelayTimer);
  R.DelayTimer = Exec.runAfter(Delay, [this, Weak = R.weak_from_this()] {
    if (LivePtr Live = Weak.lock())
      this->lookUpClaim(*Live);
  });
}

void AtMostOnceRunner::acquireLease(LiveRequest &R, int64_t Revision) {
  if (this->isAnsweredOrExpired(R))
    return this->endAnswered(R);
  if (!R.Slot) {
    this->Context.requeue(R);
    return this->Context.endOperation(R);
  }
  const WorkerCapacity &View = this->Context.workerTable().view(R.Slot->Worker);
  LeaseRequest Lease;
  Lease.Lease = R.Lease =
      LeaseId(fmt::format("{}.{}", R.Request.Id.str(), ++R.Attempts));
  Lease.Owner = R.Request.Id.str();
  Lease.Account = R.Request.Account;
  Lease.Kind = R.Request.Kind;
  Lease.Ttl = R.Request.Deadline - this->Context.executor().now() + LeaseMargin;
  Lease.Holder = Epoch{1, this->Context.hostId()};
  this->Context.workerClient().acquire(
      View.Address, Lease,
      [this, Weak = R.weak_from_this(),
       Revision](const absl::StatusOr<LeaseReport> &Report) {
        if (LivePtr Live = Weak.lock())
          this->onAcquired(*Live, Revision, Report);
      });
}

void AtMostOnceRunner::onAcquired(LiveRequest &R, int64_t Revision,
                                  const absl::StatusOr<LeaseReport> &Report) {
  if (!Report.ok())
    return this->onLeaseRefused(R, Report.status());
  if (this->isAnsweredOrExpired(R)) {
    this->releaseLease(this->Context.workerTable().view(R.Slot->Worker).Address,
                       R.Lease);
    return this->endAnswered(R);
  }
  this->writeClaim(R, Revision);
}

void AtMostOnceRunner::onLeaseRefused(LiveRequest &R,
                                      const absl::Status &Error) {
  absl::Time Now = this->Context.executor().now();
  size_t Worker = R.Slot->Worker;
  WorkerTable &Table = this->Context.workerTable();
  if (errorKindOf(Error) == ErrorKind::NoCapacity) {
    this->releaseSlot(R);
    Table.onRefused(Worker, Now);
    if (!R.isAnswered())
      this->Context.requeue(R);
    return this->Context.endOperation(R);
  }
  // The worker may hold the lease although its answer was lost.
  this->releaseLease(Table.view(Worker).Address, R.Lease);
  this->releaseSlot(R);
  Table.onAnswerLost(Worker, Now);
  Table.onFailure(Worker, R.FailedOn, Now);
  R.FailedOn.push_back(Worker);
  // Acquiring a lease starts nothing, so the attempt did not run.
  if (R.isAnswered() || !this->Context.scheduleRetry(R, true))
    return this->answerAndEnd(
        R, makeError(ErrorKind::NoCapacity, "no worker granted a lease"));
  this->Context.endOperation(R);
}

void AtMostOnceRunner::writeClaim(LiveRequest &R, int64_t Revision) {
  const WorkerCapacity &View = this->Context.workerTable().view(R.Slot->Worker);
  ClaimRecord Record;
  Record.Digest = R.Digest;
  Record.Request = R.Request.Id;
  Record.Worker = View.Id;
  Record.Address = View.Address;
  Record.Lease = R.Lease;
  this->Claims.put(R.ClaimKey, Revision, Record,
                   [this, Weak = R.weak_from_this(), Record](
                       const absl::StatusOr<ClaimStore::PutResult> &Result) {
                     if (LivePtr Live = Weak.lock())
                       this->onClaimed(*Live, Record, Result);
                   });
}

void AtMostOnceRunner::onClaimed(
    LiveRequest &R, const ClaimRecord &Record,
    const absl::StatusOr<ClaimStore::PutResult> &Result) {
  if (!Result.ok()) {
    // The claim may have been written or may be written later. A submission
    // that finds it asks the worker, which must answer that this lease was
    // never started. A released lease would be unknown, so the lease is
    // revoked.
    this->Context.workerClient().revoke(
        Record.Address, Record.Lease,
        [](const absl::StatusOr<RevokeResult> &) {});
    return this->answerAndEnd(R, Result.status());
  }
  if (!Result->Applied) {
    this->releaseLease(Record.Address, Record.Lease);
    if (Result->Existing)
      return this->onClaimFound(R, *Result->Existing);
    return this->lookUpClaim(R);
  }
  R.Claim = ClaimStore::StoredClaim{Record, Result->ModRevision};
  R.OwnRevision = Result->ModRevision;
  if (this->isAnsweredOrExpired(R))
    return this->abandonClaim(R);
  this->startTask(R);
}

void AtMostOnceRunner::abandonClaim(LiveRequest &R) {
  this->Context.workerClient().revoke(
      R.Claim->Record.Address, R.Claim->Record.Lease,
      [](const absl::StatusOr<RevokeResult> &) {});
  ClaimRecord Record = R.Claim->Record;
  Record.State = ClaimState::NotStarted;
  this->releaseSlot(R);
  this->Claims.put(
      R.ClaimKey, R.Claim->ModRevision, Record,
      [this, Weak = R.weak_from_this()](
          const absl::StatusOr<ClaimStore::PutResult> & /*Result*/) {
        if (LivePtr Live = Weak.lock())
          this->Context.endOperation(*Live);
      });
}

void AtMostOnceRunner::startTask(LiveRequest &R) {
  absl::Time Now = this->Context.executor().now();
  R.UnresolvedStarts = 1;
  this->Context.workerClient().startAndWait(
      R.Claim->Record.Address, R.Lease, Epoch{1, this->Context.hostId()},
      R.Request.Body, R.Request.Deadline - Now,
      [this, Weak = R.weak_from_this(),
       Now](absl::StatusOr<TaskResult> Result) {
        if (LivePtr Live = Weak.lock())
          this->onTaskEnded(*Live, Now, std::move(Result));
      });
}

void AtMostOnceRunner::stopTask(LiveRequest &R) {
  if (R.UnresolvedStarts > 0 && R.Claim)
    this->Context.workerClient().stop(
        R.Claim->Record.Address, R.Lease, Epoch{1, this->Context.hostId()},
        [](const absl::StatusOr<LeaseReport> &) {});
}

void AtMostOnceRunner::onTaskEnded(LiveRequest &R, absl::Time Sent,
                                   absl::StatusOr<TaskResult> Result) {
  absl::Time Now = this->Context.executor().now();
  if (Result.ok() && Result->Lease != R.Lease)
    Result = makeError(ErrorKind::AnswerMismatch,
                       "the worker returned the result of another lease");
  if (Result.ok() && Result->State != LeaseState::Finished)
    Result = makeError(ErrorKind::TaskFailed, "the task did not finish");
  if (!Result.ok())
    return this->onTaskError(R, Result.status());
  this->Context.workerTable().onSuccess(R.Slot->Worker, Now);
  this->releaseSlot(R, Result->FreeSlots);
  this->Context.recordSuccess(R, Now - Sent);
  this->conclude(R, std::move(Result->Body));
}

void AtMostOnceRunner::onTaskError(LiveRequest &R, const absl::Status &Error) {
  absl::Time Now = this->Context.executor().now();
  size_t Worker = R.Slot->Worker;
  this->releaseSlot(R);
  ErrorKind Kind = errorKindOf(Error);
  if (Kind == ErrorKind::NoCapacity)
    this->Context.workerTable().onRefused(Worker, Now);
  if (isProvablyNotRun(Error)) {
    // Each lease gets one start call and this one failed before the start, so
    // the task was never started.
    R.UnresolvedStarts = 0;
    return this->pollLater(R, false);
  }
  this->Context.workerTable().onFailure(Worker, R.FailedOn, Now);
  R.FailedOn.push_back(Worker);
  if (Kind == ErrorKind::TaskFailed)
    return this->conclude(R, Error);
  this->Context.workerTable().onAnswerLost(Worker, Now);
  this->pollLater(R, false);
}

void AtMostOnceRunner::conclude(LiveRequest &R,
                                absl::StatusOr<std::string> Body) {
  this->releaseSlot(R);
  R.UnresolvedStarts = 0;
  ClaimRecord Record = R.Claim->Record;
  bool AlreadyRecorded = Record.State == ClaimState::Finished;
  Record.State = Body.ok() ? ClaimState::Finished : ClaimState::Failed;
  if (Body.ok() && Body->size() <= MaxStoredAnswerBytes)
    Record.Answer = *Body;
  // The caller is answered before the outcome is recorded: until then the
  // worker keeps the result, so a retry can fetch it.
  if (Body.ok())
    this->Context.answerCaller(
        R, RequestAnswer{R.Request.Id, *std::move(Body), Record.Worker});
  else
    this->Context.answerCaller(R, Body.status());
  if (AlreadyRecorded)
    return this->Context.endOperation(R);
  this->recordOutcome(R, Record);
}

void AtMostOnceRunner::recordOutcome(LiveRequest &R,
                                     const ClaimRecord &Record) {
  bool KeepResult =
      Record.State == ClaimState::Finished && !Record.Answer.has_value();
  this->Claims.put(R.ClaimKey, R.Claim->ModRevision, Record,
                   [this, Weak = R.weak_from_this(), KeepResult, Record](
                       const absl::StatusOr<ClaimStore::PutResult> &Result) {
                     LivePtr Live = Weak.lock();
                     if (!Live)
                       return;
                     if (Result.ok() && Result->Applied && !KeepResult)
                       this->releaseLease(Record.Address, Record.Lease);
                     this->Context.endOperation(*Live);
                   });
}

} // namespace vanillayard
