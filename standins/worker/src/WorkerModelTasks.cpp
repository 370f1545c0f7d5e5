#include "WorkerLease.h"
#include "base/Digest.h"
#include "base/ErrorKind.h"
#include "standin_worker/WorkerModel.h"

#include <algorithm>

namespace vanillayard {

/// Run time of a task under setFailEverything(). It is short so that the
/// failing worker looks like the least loaded one.
static constexpr absl::Duration ImmediateFailure = absl::Milliseconds(1);
/// A task below this speed counts as stopped and gets no end timer, because
/// its end time would be out of range.
static constexpr double MinSpeed = 1e-6;

void WorkerModel::armExpiry(Lease &L, absl::Duration Ttl) {
  this->Exec.cancel(L.ExpiryTimer);
  L.ExpiresAt = this->Exec.now() + Ttl;
  L.ExpiryTimer = this->Exec.runAfter(
      Ttl, [this, Id = L.Report.Lease] { this->expireLease(Id); });
}

void WorkerModel::expireLease(const LeaseId &Id) {
  Lease *L = this->find(Id);
  if (!L)
    return;
  if (L->Report.State == LeaseState::Held) {
    this->replaceWithTombstone(Id, LeaseState::Expired,
                               RevokeResult::NeverStarted);
  } else if (L->Report.State == LeaseState::Running) {
    this->endTask(*L, LeaseState::Expired);
    this->replaceWithTombstone(Id, LeaseState::Expired, RevokeResult::Finished);
  }
}

void WorkerModel::beginTask(Lease &L, const std::string &Body) {
  LeaseReport &Report = L.Report;
  Report.State = LeaseState::Running;
  L.Task = TaskBody::parse(Body, this->Options.DefaultRunTime);
  if (this->FailEverything) {
    L.Task.Fail = true;
    L.Task.RunTime = ImmediateFailure;
  }
  L.Result = L.Task.result(Report.Owner, Body);
  L.StartedAt = this->Exec.now();
  L.ProgressUpdatedAt = L.StartedAt;
  L.RemainingRunTime = L.Task.RunTime;
  L.LogIndex = this->ExecutionLog.size();
  ExecutionRecord Record;
  Record.Owner = Report.Owner;
  Record.Lease = Report.Lease;
  Record.Worker = this->Options.Name;
  Record.Incarnation = this->Incarnation;
  Record.Account = Report.Account;
  Record.Kind = Report.Kind;
  Record.Accelerators = Report.Accelerators;
  Record.Member = Report.Member;
  Record.GangSize = Report.GangSize;
  Record.BodyDigest = sha256Hex(Body);
  Record.Started = L.StartedAt;
  this->ExecutionLog.push_back(std::move(Record));
  this->scheduleEnd(L);
  this->recordChange();
}

void WorkerModel::updateProgress(Lease &L) {
  absl::Time Now = this->Exec.now();
  L.RemainingRunTime -= (Now - L.ProgressUpdatedAt) * L.Speed;
  L.RemainingRunTime = std::max(L.RemainingRunTime, absl::ZeroDuration());
  L.ProgressUpdatedAt = Now;
}

void WorkerModel::scheduleEnd(Lease &L) {
  this->Exec.cancel(L.EndTimer);
  L.EndTimer = 0;
  if (L.Speed < MinSpeed)
    return;
  L.EndTimer = this->Exec.runAfter(
      L.RemainingRunTime / L.Speed,
      [this, Id = L.Report.Lease] { this->finishTask(Id); });
}

void WorkerModel::finishTask(const LeaseId &Id) {
  Lease *L = this->find(Id);
  if (!L || L->Report.State != LeaseState::Running)
    return;
  this->endTask(*L, L->Task.Fail ? LeaseState::Failed : LeaseState::Finished);
}

void WorkerModel::endTask(Lease &L, LeaseState State) {
  L.Report.State = State;
  L.EndedAt = this->Exec.now();
  this->Exec.cancel(L.ExpiryTimer);
  this->Exec.cancel(L.EndTimer);
  this->Exec.cancel(L.CheckpointTimer);
  this->ExecutionLog[L.LogIndex].Ended = L.EndedAt;
  this->ExecutionLog[L.LogIndex].State = State;
  if (L.FromRun)
    this->retainRunResult(L);
  this->recordChange();
  this->answerWaiters(L);
}

void WorkerModel::retainRunResult(Lease &L) {
  auto Node = this->Leases.extract(L.Report.Lease);
  L.EndTimer =
      this->Exec.runAfter(RunResultRetention, [this, Id = L.Report.Lease] {
        this->RunResults.erase(Id);
      });
  this->RunResults.insert(std::move(Node));
}

absl::StatusOr<TaskResult> WorkerModel::resultForWaiters(const Lease &L) const {
  switch (L.Report.State) {
  case LeaseState::Finished: {
    TaskResult Result;
    Result.Lease = L.Report.Lease;
    Result.Body = L.Result;
    Result.FreeSlots = this->freeSlots();
    return Result;
  }
  case LeaseState::Failed:
    return makeError(ErrorKind::TaskFailed, "the task ran and failed");
  default:
    return makeError(ErrorKind::OutcomeUnknown,
                     "the task was stopped before it finished");
  }
}

void WorkerModel::answerWaiters(Lease &L) {
  absl::StatusOr<TaskResult> Result = this->resultForWaiters(L);
  std::vector<Waiter> Waiting;
  Waiting.swap(L.Waiters);
  // A waiter may call back into the model and invalidate L.
  for (Waiter &Done : Waiting)
    Done(Result);
}

void WorkerModel::addWaiter(Lease &L, Waiter Done) {
  L.Waiters.push_back(std::move(Done));
  ++this->ChangeCount;
  if (!L.isActive())
    this->answerWaiters(L);
}

absl::StatusOr<LeaseReport> WorkerModel::start(const LeaseId &Id,
                                               const Epoch &Holder,
                                               const std::string &Body) {
  Lease *L = this->find(Id);
  if (!L) {
    auto Gone = this->Tombstones.find(Id);
    if (Gone != this->Tombstones.end() &&
        Gone->second.RevokeAnswer == RevokeResult::Finished)
      return this->reportTombstone(Id);
    return makeError(ErrorKind::Conflict, "the worker does not hold the lease");
  }
  if (absl::Status Fresh = this->checkEpoch(*L, Holder); !Fresh.ok())
    return Fresh;
  if (L->Report.State == LeaseState::Held)
    this->beginTask(*L, Body);
  return this->report(*L);
}

void WorkerModel::startAndWait(const LeaseId &Id, const Epoch &Holder,
                               const std::string &Body, Waiter Done) {
  if (this->waitingCalls() >= this->Options.Connections)
    return Done(makeError(ErrorKind::NoCapacity, "no free connection"));
  absl::StatusOr<LeaseReport> Started = this->start(Id, Holder, Body);
  if (!Started.ok())
    return Done(Started.status());
  Lease *L = this->find(Id);
  if (!L)
    return Done(makeError(ErrorKind::OutcomeUnknown,
                          "the task ran, but its result is no longer kept"));
  this->addWaiter(*L, std::move(Done));
}

void WorkerModel::run(const LeaseRequest &Request, const std::string &Body,
                      Waiter Done) {
  if (this->waitingCalls() >= this->Options.Connections)
    return Done(makeError(ErrorKind::NoCapacity, "no free connection"));
  bool IsNew = !this->find(Request.Lease);
  absl::StatusOr<LeaseReport> Acquired = this->acquire(Request);
  if (!Acquired.ok())
    return Done(Acquired.status());
  if (IsNew)
    this->find(Request.Lease)->FromRun = true;
  this->startAndWait(Request.Lease, Request.Holder, Body, std::move(Done));
}

TaskResult WorkerModel::query(const LeaseId &Id) const {
  TaskResult Result;
  Result.Lease = Id;
  Result.FreeSlots = this->freeSlots();
  const Lease *L = this->find(Id);
  Result.State = L ? L->Report.State : this->reportTombstone(Id).State;
  if (Result.State == LeaseState::Finished)
    Result.Body = L->Result;
  return Result;
}

RevokeResult WorkerModel::revoke(const LeaseId &Id) {
  Lease *L = this->find(Id);
  if (!L) {
    auto Gone = this->Tombstones.find(Id);
    if (Gone != this->Tombstones.end())
      return Gone->second.RevokeAnswer;
    this->replaceWithTombstone(Id, LeaseState::Revoked, RevokeResult::Unknown);
    return RevokeResult::Unknown;
  }
  if (L->Report.State == LeaseState::Running)
    return RevokeResult::Running;
  if (L->Report.State != LeaseState::Held)
    return RevokeResult::Finished;
  this->replaceWithTombstone(Id, LeaseState::Revoked,
                             RevokeResult::NeverStarted);
  return RevokeResult::NeverStarted;
}

absl::StatusOr<LeaseReport> WorkerModel::stop(const LeaseId &Id,
                                              const Epoch &Holder) {
  Lease *L = this->find(Id);
  if (!L)
    return this->reportTombstone(Id);
  if (absl::Status Fresh = this->checkEpoch(*L, Holder); !Fresh.ok())
    return Fresh;
  if (L->Report.State == LeaseState::Held) {
    this->replaceWithTombstone(Id, LeaseState::Revoked,
                               RevokeResult::NeverStarted);
    return this->reportTombstone(Id);
  }
  if (L->Report.State == LeaseState::Running)
    this->endTask(*L, LeaseState::Stopped);
  L = this->find(Id);
  return L ? this->report(*L) : this->reportTombstone(Id);
}

absl::StatusOr<LeaseReport> WorkerModel::checkpoint(const LeaseId &Id,
                                                    const Epoch &Holder) {
  Lease *L = this->find(Id);
  if (!L)
    return this->reportTombstone(Id);
  if (absl::Status Fresh = this->checkEpoch(*L, Holder); !Fresh.ok())
    return Fresh;
  if (L->Report.State == LeaseState::Running && !L->Report.Checkpointed &&
      L->CheckpointTimer == 0)
    L->CheckpointTimer =
        this->Exec.runAfter(this->Options.CheckpointTime, [this, Id] {
          this->find(Id)->Report.Checkpointed = true;
          this->recordChange();
        });
  return this->report(*L);
}

absl::StatusOr<LeaseReport>
WorkerModel::throttle(const LeaseId &Id, const Epoch &Holder, double Share) {
  Lease *L = this->find(Id);
  if (!L)
    return this->reportTombstone(Id);
  if (absl::Status Fresh = this->checkEpoch(*L, Holder); !Fresh.ok())
    return Fresh;
  if (L->Report.State == LeaseState::Running) {
    this->updateProgress(*L);
    L->Speed = std::clamp(Share, 0.0, 1.0);
    this->scheduleEnd(*L);
  }
  return this->report(*L);
}

absl::StatusOr<LeaseReport> WorkerModel::release(const LeaseId &Id) {
  Lease *L = this->find(Id);
  if (!L)
    return this->reportTombstone(Id);
  LeaseReport Report = this->report(*L);
  if (Report.State == LeaseState::Running)
    return Report;
  bool NeverStarted = Report.State == LeaseState::Held;
  this->replaceWithTombstone(Id, LeaseState::Unknown,
                             NeverStarted ? RevokeResult::NeverStarted
                                          : RevokeResult::Finished);
  return Report;
}

} // namespace vanillayard
