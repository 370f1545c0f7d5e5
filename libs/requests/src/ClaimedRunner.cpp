#include "ClaimedRunner.h"

#include "RunnerHost.h"
#include "base/ErrorKind.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace vanillayard {

// The lease must outlive the run; the worker ends it if this host dies.
static constexpr absl::Duration LeaseMargin = absl::Seconds(5);
static constexpr absl::Duration FirstPoll = absl::Milliseconds(50);
static constexpr int MaxPollDoublings = 4;
static constexpr absl::Duration InProgressRetryAfter = absl::Seconds(1);
// In Base64 within the store's bound of 1 MB for a value.
static constexpr size_t MaxStoredAnswerBytes = 700000;

void ClaimedRunner::start(const LivePtr &R,
                          const WorkerTable::Reservation &Place) {
  R->At = LiveRequest::Stage::Running;
  R->Place = Place;
  ++R->OpenSteps;
  this->lookUp(*R);
}

bool ClaimedRunner::isOver(LiveRequest &R) {
  if (!R.isAnswered() && this->Host.executor().now() >= R.Request.Deadline)
    this->Host.finish(R, makeError(ErrorKind::DeadlineExpired,
                                   "the deadline passed before the start"));
  return R.isAnswered();
}

void ClaimedRunner::end(LiveRequest &R, absl::StatusOr<RequestAnswer> Result) {
  this->releasePlace(R);
  this->Host.finish(R, std::move(Result));
  this->Host.endStep(R);
}

void ClaimedRunner::drop(LiveRequest &R) {
  this->releasePlace(R);
  this->Host.endStep(R);
}

void ClaimedRunner::releasePlace(LiveRequest &R, int FreeSlots) {
  if (!R.Place)
    return;
  this->Host.table().release(*R.Place, FreeSlots, this->Host.executor().now());
  R.Place.reset();
}

void ClaimedRunner::releaseLease(const Endpoint &Address,
                                 const LeaseId &Lease) {
  this->Host.workers().release(Address, Lease,
                               [](const absl::StatusOr<LeaseReport> &) {});
}

void ClaimedRunner::lookUp(LiveRequest &R) {
  if (this->isOver(R))
    return this->drop(R);
  this->Claims.find(
      R.ClaimKey, [this, Weak = R.weak_from_this()](
                      absl::StatusOr<std::optional<ClaimStore::Found>> Found) {
        LivePtr Live = Weak.lock();
        if (!Live)
          return;
        if (!Found.ok()) {
          // The worker of the own claim can be asked without the store.
          if (Live->UnresolvedStarts > 0 && Live->Claim)
            return this->askWorker(*Live);
          return this->end(*Live, Found.status());
        }
        if (!*Found)
          return this->acquire(*Live, 0);
        this->onClaim(*Live, **Found);
      });
}

void ClaimedRunner::onClaim(LiveRequest &R, const ClaimStore::Found &Claim) {
  if (Claim.Record.Digest != R.Digest)
    return this->end(R, makeError(ErrorKind::KeyReused,
                                  "the key was used for another request"));
  // Our claim is replaced only after its worker proved that it was never
  // started. A record older than our claim proves nothing: reads may be stale.
  if (Claim.ModRevision > R.OwnRevision && Claim.Record.Lease != R.Lease)
    R.UnresolvedStarts = 0;
  R.Claim = Claim;
  const ClaimRecord &Record = Claim.Record;
  switch (Record.State) {
  case ClaimState::Finished:
    if (!Record.Answer)
      return this->fetchResult(R);
    return this->end(
        R, RequestAnswer{R.Request.Id, *Record.Answer, Record.Worker});
  case ClaimState::Failed:
    return this->end(R, makeError(ErrorKind::TaskFailed, "the task failed"));
  case ClaimState::NotStarted:
    return this->acquire(R, Claim.ModRevision);
  case ClaimState::Claimed:
    return this->askWorker(R);
  }
}

void ClaimedRunner::askWorker(LiveRequest &R) {
  const ClaimRecord &Record = R.Claim->Record;
  this->Host.workers().revoke(
      Record.Address, Record.Lease,
      [this,
       Weak = R.weak_from_this()](const absl::StatusOr<RevokeResult> &Result) {
        if (LivePtr Live = Weak.lock())
          this->onRevoked(*Live, Result.value_or(RevokeResult::Unknown));
      });
}

void ClaimedRunner::onRevoked(LiveRequest &R, RevokeResult Result) {
  switch (Result) {
  case RevokeResult::NeverStarted:
    if (R.Claim->Record.Lease == R.Lease)
      R.UnresolvedStarts = 0;
    return this->acquire(R, R.Claim->ModRevision);
  case RevokeResult::Finished:
    return this->fetchResult(R);
  case RevokeResult::Running:
    return this->pollLater(R, true);
  case RevokeResult::Unknown:
    return this->pollLater(R, false);
  }
}

void ClaimedRunner::fetchResult(LiveRequest &R) {
  const ClaimRecord &Record = R.Claim->Record;
  this->Host.workers().query(
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

void ClaimedRunner::pollLater(LiveRequest &R, bool Running) {
  this->releasePlace(R);
  Executor &Exec = this->Host.executor();
  int Doublings = std::min(R.Polls++, MaxPollDoublings);
  absl::Duration Delay = FirstPoll * (1 << Doublings);
  if (Exec.now() + Delay >= R.Request.Deadline) {
    bool Other = R.Claim && R.Claim->Record.Request != R.Request.Id;
    if (Running && Other)
      return this->end(R, makeError(ErrorKind::InProgress,
                                    "an earlier submission is running",
                                    InProgressRetryAfter));
    return this->end(R, makeError(ErrorKind::OutcomeUnknown,
                                  "the worker of the claim did not tell "
                                  "whether it was started"));
  }
  Exec.cancel(R.Wait);
  R.Wait = Exec.runAfter(Delay, [this, Weak = R.weak_from_this()] {
    if (LivePtr Live = Weak.lock())
      this->lookUp(*Live);
  });
}

void ClaimedRunner::acquire(LiveRequest &R, int64_t Revision) {
  if (this->isOver(R))
    return this->drop(R);
  if (!R.Place) {
    this->Host.requeue(R);
    return this->Host.endStep(R);
  }
  const WorkerCapacity &View = this->Host.table().view(R.Place->Worker);
  LeaseRequest Lease;
  Lease.Lease = R.Lease =
      LeaseId(fmt::format("{}.{}", R.Request.Id.str(), ++R.Attempts));
  Lease.Owner = R.Request.Id.str();
  Lease.Account = R.Request.Account;
  Lease.Kind = R.Request.Kind;
  Lease.Ttl = R.Request.Deadline - this->Host.executor().now() + LeaseMargin;
  Lease.Holder = Epoch{1, this->Host.hostId()};
  this->Host.workers().acquire(View.Address, Lease,
                               [this, Weak = R.weak_from_this(), Revision](
                                   const absl::StatusOr<LeaseReport> &Report) {
                                 if (LivePtr Live = Weak.lock())
                                   this->onAcquired(*Live, Revision, Report);
                               });
}

void ClaimedRunner::onAcquired(LiveRequest &R, int64_t Revision,
                               const absl::StatusOr<LeaseReport> &Report) {
  if (!Report.ok())
    return this->onRefusedLease(R, Report.status());
  if (this->isOver(R)) {
    this->releaseLease(this->Host.table().view(R.Place->Worker).Address,
                       R.Lease);
    return this->drop(R);
  }
  this->claim(R, Revision);
}

void ClaimedRunner::onRefusedLease(LiveRequest &R, const absl::Status &Error) {
  absl::Time Now = this->Host.executor().now();
  size_t Worker = R.Place->Worker;
  WorkerTable &Table = this->Host.table();
  if (errorKindOf(Error) == ErrorKind::NoCapacity) {
    this->releasePlace(R);
    Table.onRefused(Worker, Now);
    if (!R.isAnswered())
      this->Host.requeue(R);
    return this->Host.endStep(R);
  }
  // The lease may be held although the answer was lost.
  this->releaseLease(Table.view(Worker).Address, R.Lease);
  this->releasePlace(R);
  Table.onLost(Worker, Now);
  Table.onFailure(Worker, R.FailedOn, Now);
  R.FailedOn.push_back(Worker);
  // Nothing is started by acquiring.
  if (R.isAnswered() || !this->Host.retry(R, true))
    return this->end(
        R, makeError(ErrorKind::NoCapacity, "no worker granted a lease"));
  this->Host.endStep(R);
}

void ClaimedRunner::claim(LiveRequest &R, int64_t Revision) {
  const WorkerCapacity &View = this->Host.table().view(R.Place->Worker);
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

void ClaimedRunner::onClaimed(
    LiveRequest &R, const ClaimRecord &Record,
    const absl::StatusOr<ClaimStore::PutResult> &Result) {
  if (!Result.ok()) {
    // The claim may have been written and may be written later. The worker
    // must then be able to tell that this lease was never started, so the
    // lease is revoked and not released.
    this->Host.workers().revoke(Record.Address, Record.Lease,
                                [](const absl::StatusOr<RevokeResult> &) {});
    return this->end(R, Result.status());
  }
  if (!Result->Applied) {
    this->releaseLease(Record.Address, Record.Lease);
    if (Result->Other)
      return this->onClaim(R, *Result->Other);
    return this->lookUp(R);
  }
  R.Claim = ClaimStore::Found{Record, Result->ModRevision};
  R.OwnRevision = Result->ModRevision;
  if (this->isOver(R))
    return this->giveUpClaim(R);
  this->startTask(R);
}

void ClaimedRunner::giveUpClaim(LiveRequest &R) {
  this->Host.workers().revoke(R.Claim->Record.Address, R.Claim->Record.Lease,
                              [](const absl::StatusOr<RevokeResult> &) {});
  ClaimRecord Record = R.Claim->Record;
  Record.State = ClaimState::NotStarted;
  this->releasePlace(R);
  this->Claims.put(
      R.ClaimKey, R.Claim->ModRevision, Record,
      [this, Weak = R.weak_from_this()](
          const absl::StatusOr<ClaimStore::PutResult> & /*Result*/) {
        if (LivePtr Live = Weak.lock())
          this->Host.endStep(*Live);
      });
}

void ClaimedRunner::startTask(LiveRequest &R) {
  absl::Time Now = this->Host.executor().now();
  R.UnresolvedStarts = 1;
  this->Host.workers().startAndWait(
      R.Claim->Record.Address, R.Lease, Epoch{1, this->Host.hostId()},
      R.Request.Body, R.Request.Deadline - Now,
      [this, Weak = R.weak_from_this(),
       Now](absl::StatusOr<TaskResult> Result) {
        if (LivePtr Live = Weak.lock())
          this->onTaskEnded(*Live, Now, std::move(Result));
      });
}

void ClaimedRunner::stop(LiveRequest &R) {
  if (R.UnresolvedStarts > 0 && R.Claim)
    this->Host.workers().stop(R.Claim->Record.Address, R.Lease,
                              Epoch{1, this->Host.hostId()},
                              [](const absl::StatusOr<LeaseReport> &) {});
}

void ClaimedRunner::onTaskEnded(LiveRequest &R, absl::Time Sent,
                                absl::StatusOr<TaskResult> Result) {
  absl::Time Now = this->Host.executor().now();
  if (Result.ok() && Result->Lease != R.Lease)
    Result = makeError(ErrorKind::AnswerMismatch,
                       "the worker answered for another lease");
  if (Result.ok() && Result->State != LeaseState::Finished)
    Result = makeError(ErrorKind::TaskFailed, "the task did not finish");
  if (!Result.ok())
    return this->onTaskError(R, Result.status());
  this->Host.table().onSuccess(R.Place->Worker, Now);
  this->releasePlace(R, Result->FreeSlots);
  this->Host.noteSuccess(R, Now - Sent);
  this->conclude(R, std::move(Result->Body));
}

void ClaimedRunner::onTaskError(LiveRequest &R, const absl::Status &Error) {
  absl::Time Now = this->Host.executor().now();
  size_t Worker = R.Place->Worker;
  this->releasePlace(R);
  ErrorKind Kind = errorKindOf(Error);
  if (Kind == ErrorKind::NoCapacity)
    this->Host.table().onRefused(Worker, Now);
  if (isProvablyNotRun(Error)) {
    // One start call is made for a lease, so nothing was started.
    R.UnresolvedStarts = 0;
    return this->pollLater(R, false);
  }
  this->Host.table().onFailure(Worker, R.FailedOn, Now);
  R.FailedOn.push_back(Worker);
  if (Kind == ErrorKind::TaskFailed)
    return this->conclude(R, Error);
  this->Host.table().onLost(Worker, Now);
  this->pollLater(R, false);
}

void ClaimedRunner::conclude(LiveRequest &R, absl::StatusOr<std::string> Body) {
  this->releasePlace(R);
  R.UnresolvedStarts = 0;
  ClaimRecord Record = R.Claim->Record;
  bool WasRecorded = Record.State == ClaimState::Finished;
  Record.State = Body.ok() ? ClaimState::Finished : ClaimState::Failed;
  if (Body.ok() && Body->size() <= MaxStoredAnswerBytes)
    Record.Answer = *Body;
  // The caller does not wait for the record: until it is written, the worker
  // keeps the result for a retry.
  if (Body.ok())
    this->Host.finish(
        R, RequestAnswer{R.Request.Id, *std::move(Body), Record.Worker});
  else
    this->Host.finish(R, Body.status());
  if (WasRecorded)
    return this->Host.endStep(R);
  this->recordOutcome(R, Record);
}

void ClaimedRunner::recordOutcome(LiveRequest &R, const ClaimRecord &Record) {
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
                     this->Host.endStep(*Live);
                   });
}

} // namespace vanillayard
