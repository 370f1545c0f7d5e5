#include "RepeatableRunner.h"

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

void RepeatableRunner::start(const LivePtr &R,
                             const WorkerTable::Reservation &Slot) {
  R->CurrentStage = LiveRequest::Stage::Running;
  this->startAttempt(R, Slot);
  this->scheduleHedge(R, Slot.Worker);
}

void RepeatableRunner::startAttempt(const LivePtr &R,
                                    const WorkerTable::Reservation &Slot) {
  Executor &Exec = this->Context.executor();
  const WorkerCapacity &View = this->Context.workerTable().view(Slot.Worker);
  absl::Time Now = Exec.now();
  absl::Duration Remaining = R->Request.Deadline - Now;
  LeaseRequest Lease;
  Lease.Lease =
      LeaseId(fmt::format("{}.{}", R->Request.Id.str(), ++R->Attempts));
  Lease.Owner = R->Request.Id.str();
  Lease.Account = R->Request.Account;
  Lease.Kind = R->Request.Kind;
  Lease.Ttl = Remaining + LeaseMargin;
  Lease.Holder = Epoch{1, this->Context.hostId()};
  Lease.Reclaimable = true;
  ++R->PendingOperations;
  ++R->UnresolvedStarts;
  R->InFlightAttempts.push_back({Lease.Lease, View.Address});
  this->Context.workerClient().run(
      View.Address, Lease, R->Request.Body, Remaining,
      [this, Weak = LiveWeak(R), Slot, Id = Lease.Lease,
       Now](absl::StatusOr<TaskResult> Result) {
        if (LivePtr Live = Weak.lock())
          this->onResult(*Live, Slot, Id, Now, std::move(Result));
      });
}

void RepeatableRunner::scheduleHedge(const LivePtr &R, size_t FirstWorker) {
  absl::Duration Delay = this->Context.hedgeDelay(*R);
  Executor &Exec = this->Context.executor();
  if (Exec.now() + Delay >= R->Request.Deadline)
    return;
  Exec.cancel(R->DelayTimer);
  R->DelayTimer = Exec.runAfter(Delay, [this, Weak = LiveWeak(R), FirstWorker] {
    LivePtr Live = Weak.lock();
    if (!Live || Live->isAnswered() || Live->InFlightAttempts.size() != 1 ||
        this->Context.workerTable().availableCapacity() <= 0)
      return;
    size_t Avoid[] = {FirstWorker};
    if (!this->Context.takeHedgeFromBudget(*Live))
      return;
    if (auto Slot = this->Context.workerTable().reserve(Avoid, true))
      this->startAttempt(Live, *Slot);
  });
}

void RepeatableRunner::stopOthers(LiveRequest &R) {
  for (const LiveRequest::InFlightAttempt &Open : R.InFlightAttempts)
    this->Context.workerClient().stop(
        Open.Address, Open.Lease, Epoch{1, this->Context.hostId()},
        [](const absl::StatusOr<LeaseReport> &) {});
}

void RepeatableRunner::onResult(LiveRequest &R,
                                const WorkerTable::Reservation &Slot,
                                const LeaseId &Lease, absl::Time Sent,
                                absl::StatusOr<TaskResult> Result) {
  absl::Time Now = this->Context.executor().now();
  WorkerTable &Table = this->Context.workerTable();
  std::erase_if(R.InFlightAttempts,
                [&](const LiveRequest::InFlightAttempt &Open) {
                  return Open.Lease == Lease;
                });
  if (Result.ok() && Result->Lease != Lease)
    Result = makeError(ErrorKind::AnswerMismatch,
                       "the worker returned the result of another lease");
  if (Result.ok() && Result->State != LeaseState::Finished)
    Result = makeError(ErrorKind::TaskFailed, "the task did not finish");
  if (Result.ok()) {
    --R.UnresolvedStarts;
    Table.onSuccess(Slot.Worker, Now);
    Table.release(Slot, Result->FreeSlots, Now);
    this->Context.recordSuccess(R, Now - Sent);
    this->stopOthers(R);
    this->Context.answerCaller(R, RequestAnswer{R.Request.Id,
                                                std::move(Result->Body),
                                                Table.view(Slot.Worker).Id});
  } else {
    Table.release(Slot, -1, Now);
    this->onError(R, Slot.Worker, Result.status());
  }
  this->Context.endOperation(R);
}

void RepeatableRunner::onError(LiveRequest &R, size_t Worker,
                               const absl::Status &Error) {
  absl::Time Now = this->Context.executor().now();
  WorkerTable &Table = this->Context.workerTable();
  ErrorKind Kind = errorKindOf(Error);
  bool NotRun = isProvablyNotRun(Error);
  if (NotRun || Kind == ErrorKind::TaskFailed)
    --R.UnresolvedStarts;
  // The request was answered and its other attempts were stopped; the error of
  // a stopped attempt says nothing about the worker.
  if (R.isAnswered())
    return;
  if (Kind == ErrorKind::NoCapacity) {
    Table.onRefused(Worker, Now);
  } else if (!NotRun) {
    R.HasFailedRun |= Kind == ErrorKind::TaskFailed;
    // A call that timed out at the request's deadline says nothing about the
    // worker. When such calls counted as failures, the late requests of an
    // overload ejected healthy workers.
    bool IsLate = Now >= R.Request.Deadline && Kind != ErrorKind::TaskFailed;
    if (!IsLate) {
      if (Kind != ErrorKind::TaskFailed)
        Table.onAnswerLost(Worker, Now);
      Table.onFailure(Worker, R.FailedOn, Now);
    }
    R.FailedOn.push_back(Worker);
  }
  // The other attempt of a hedged request may still succeed.
  if (!R.InFlightAttempts.empty())
    return;
  if (Kind == ErrorKind::NoCapacity)
    this->Context.requeue(R);
  else if (!this->Context.scheduleRetry(R, NotRun))
    this->Context.answerCaller(R, Error);
}

} // namespace vanillayard
