#include "WorkerLease.h"
#include "base/Digest.h"
#include "base/ErrorKind.h"
#include "standin_worker/WorkerModel.h"

#include <algorithm>

namespace vanillayard {

/// A worker that fails everything does so at once, which makes it look like
/// the least loaded one.
static constexpr absl::Duration ImmediateFailure = absl::Milliseconds(1);
/// Speeds below this count as a stopped task, to keep its end in range.
static constexpr double LeastSpeed = 1e-6;

void WorkerModel::armExpiry(Lease &Held, absl::Duration Ttl) {
  this->Exec.cancel(Held.ExpiryTimer);
  Held.ExpiresAt = this->Exec.now() + Ttl;
  Held.ExpiryTimer = this->Exec.runAfter(
      Ttl, [this, Id = Held.Report.Lease] { this->expire(Id); });
}

void WorkerModel::expire(const LeaseId &Id) {
  Lease *Held = this->find(Id);
  if (!Held)
    return;
  if (Held->Report.State == LeaseState::Held) {
    this->bury(Id, LeaseState::Expired, RevokeResult::NeverStarted);
  } else if (Held->Report.State == LeaseState::Running) {
    this->end(*Held, LeaseState::Expired);
    this->bury(Id, LeaseState::Expired, RevokeResult::Finished);
  }
}

void WorkerModel::begin(Lease &Held, const std::string &Body) {
  LeaseReport &Report = Held.Report;
  Report.State = LeaseState::Running;
  Held.Task = TaskBody::parse(Body, this->Options.DefaultRunTime);
  if (this->FailEverything) {
    Held.Task.Fail = true;
    Held.Task.RunTime = ImmediateFailure;
  }
  Held.Result = Held.Task.result(Report.Owner, Body);
  Held.StartedAt = this->Exec.now();
  Held.ProgressAt = Held.StartedAt;
  Held.WorkLeft = Held.Task.RunTime;
  Held.LogIndex = this->Log.size();
  ExecutionRecord Entry;
  Entry.Owner = Report.Owner;
  Entry.Lease = Report.Lease;
  Entry.Worker = this->Options.Name;
  Entry.Incarnation = this->Incarnation;
  Entry.Account = Report.Account;
  Entry.Kind = Report.Kind;
  Entry.Accelerators = Report.Accelerators;
  Entry.Member = Report.Member;
  Entry.GangSize = Report.GangSize;
  Entry.BodyDigest = sha256Hex(Body);
  Entry.Started = Held.StartedAt;
  this->Log.push_back(std::move(Entry));
  this->scheduleEnd(Held);
  this->changed();
}

void WorkerModel::accountProgress(Lease &Held) {
  absl::Time Now = this->Exec.now();
  Held.WorkLeft -= (Now - Held.ProgressAt) * Held.Speed;
  Held.WorkLeft = std::max(Held.WorkLeft, absl::ZeroDuration());
  Held.ProgressAt = Now;
}

void WorkerModel::scheduleEnd(Lease &Held) {
  this->Exec.cancel(Held.EndTimer);
  Held.EndTimer = 0;
  if (Held.Speed < LeastSpeed)
    return;
  Held.EndTimer =
      this->Exec.runAfter(Held.WorkLeft / Held.Speed,
                          [this, Id = Held.Report.Lease] { this->finish(Id); });
}

void WorkerModel::finish(const LeaseId &Id) {
  Lease *Held = this->find(Id);
  if (!Held || Held->Report.State != LeaseState::Running)
    return;
  this->end(*Held, Held->Task.Fail ? LeaseState::Failed : LeaseState::Finished);
}

void WorkerModel::end(Lease &Held, LeaseState State) {
  Held.Report.State = State;
  Held.EndedAt = this->Exec.now();
  this->Exec.cancel(Held.ExpiryTimer);
  this->Exec.cancel(Held.EndTimer);
  this->Exec.cancel(Held.CheckpointTimer);
  this->Log[Held.LogIndex].Ended = Held.EndedAt;
  this->Log[Held.LogIndex].State = State;
  if (Held.FromRun)
    this->keepRunResult(Held);
  this->changed();
  this->answerWaiters(Held);
}

void WorkerModel::keepRunResult(Lease &Held) {
  auto Node = this->Leases.extract(Held.Report.Lease);
  Held.EndTimer =
      this->Exec.runAfter(RunResultRetention, [this, Id = Held.Report.Lease] {
        this->RunResults.erase(Id);
      });
  this->RunResults.insert(std::move(Node));
}

absl::StatusOr<TaskResult> WorkerModel::waitedResult(const Lease &Held) const {
  switch (Held.Report.State) {
  case LeaseState::Finished: {
    TaskResult Result;
    Result.Lease = Held.Report.Lease;
    Result.Body = Held.Result;
    Result.FreeSlots = this->freeSlots();
    return Result;
  }
  case LeaseState::Failed:
    return makeError(ErrorKind::TaskFailed, "the task ran and failed");
  default:
    return makeError(ErrorKind::OutcomeUnknown,
                     "the task was stopped before its end");
  }
}

void WorkerModel::answerWaiters(Lease &Held) {
  absl::StatusOr<TaskResult> Result = this->waitedResult(Held);
  std::vector<Waiter> Waiting;
  Waiting.swap(Held.Waiters);
  // A waiter may call back into the model, so Held is not touched any more.
  for (Waiter &Done : Waiting)
    Done(Result);
}

void WorkerModel::wait(Lease &Held, Waiter Done) {
  Held.Waiters.push_back(std::move(Done));
  ++this->Changes;
  if (!Held.isActive())
    this->answerWaiters(Held);
}

absl::StatusOr<LeaseReport> WorkerModel::start(const LeaseId &Id,
                                               const Epoch &Holder,
                                               const std::string &Body) {
  Lease *Held = this->find(Id);
  if (!Held) {
    auto Gone = this->Tombstones.find(Id);
    if (Gone != this->Tombstones.end() &&
        Gone->second.RevokeAnswer == RevokeResult::Finished)
      return this->reportGone(Id);
    return makeError(ErrorKind::Conflict, "the lease is not held here");
  }
  if (absl::Status Fresh = this->checkEpoch(*Held, Holder); !Fresh.ok())
    return Fresh;
  if (Held->Report.State == LeaseState::Held)
    this->begin(*Held, Body);
  return this->report(*Held);
}

void WorkerModel::startAndWait(const LeaseId &Id, const Epoch &Holder,
                               const std::string &Body, Waiter Done) {
  if (this->waitingCalls() >= this->Options.Connections)
    return Done(makeError(ErrorKind::NoCapacity, "no free connection"));
  absl::StatusOr<LeaseReport> Started = this->start(Id, Holder, Body);
  if (!Started.ok())
    return Done(Started.status());
  Lease *Held = this->find(Id);
  if (!Held)
    return Done(makeError(ErrorKind::OutcomeUnknown,
                          "the task ran and its result is gone"));
  this->wait(*Held, std::move(Done));
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
  const Lease *Held = this->find(Id);
  Result.State = Held ? Held->Report.State : this->reportGone(Id).State;
  if (Result.State == LeaseState::Finished)
    Result.Body = Held->Result;
  return Result;
}

RevokeResult WorkerModel::revoke(const LeaseId &Id) {
  Lease *Held = this->find(Id);
  if (!Held) {
    auto Gone = this->Tombstones.find(Id);
    if (Gone != this->Tombstones.end())
      return Gone->second.RevokeAnswer;
    this->bury(Id, LeaseState::Revoked, RevokeResult::Unknown);
    return RevokeResult::Unknown;
  }
  if (Held->Report.State == LeaseState::Running)
    return RevokeResult::Running;
  if (Held->Report.State != LeaseState::Held)
    return RevokeResult::Finished;
  this->bury(Id, LeaseState::Revoked, RevokeResult::NeverStarted);
  return RevokeResult::NeverStarted;
}

absl::StatusOr<LeaseReport> WorkerModel::stop(const LeaseId &Id,
                                              const Epoch &Holder) {
  Lease *Held = this->find(Id);
  if (!Held)
    return this->reportGone(Id);
  if (absl::Status Fresh = this->checkEpoch(*Held, Holder); !Fresh.ok())
    return Fresh;
  if (Held->Report.State == LeaseState::Held) {
    this->bury(Id, LeaseState::Revoked, RevokeResult::NeverStarted);
    return this->reportGone(Id);
  }
  if (Held->Report.State == LeaseState::Running)
    this->end(*Held, LeaseState::Stopped);
  Held = this->find(Id);
  return Held ? this->report(*Held) : this->reportGone(Id);
}

absl::StatusOr<LeaseReport> WorkerModel::checkpoint(const LeaseId &Id,
                                                    const Epoch &Holder) {
  Lease *Held = this->find(Id);
  if (!Held)
    return this->reportGone(Id);
  if (absl::Status Fresh = this->checkEpoch(*Held, Holder); !Fresh.ok())
    return Fresh;
  if (Held->Report.State == LeaseState::Running && !Held->Report.Checkpointed &&
      Held->CheckpointTimer == 0)
    Held->CheckpointTimer =
        this->Exec.runAfter(this->Options.CheckpointTime, [this, Id] {
          this->find(Id)->Report.Checkpointed = true;
          this->changed();
        });
  return this->report(*Held);
}

absl::StatusOr<LeaseReport>
WorkerModel::throttle(const LeaseId &Id, const Epoch &Holder, double Share) {
  Lease *Held = this->find(Id);
  if (!Held)
    return this->reportGone(Id);
  if (absl::Status Fresh = this->checkEpoch(*Held, Holder); !Fresh.ok())
    return Fresh;
  if (Held->Report.State == LeaseState::Running) {
    this->accountProgress(*Held);
    Held->Speed = std::clamp(Share, 0.0, 1.0);
    this->scheduleEnd(*Held);
  }
  return this->report(*Held);
}

absl::StatusOr<LeaseReport> WorkerModel::release(const LeaseId &Id) {
  Lease *Held = this->find(Id);
  if (!Held)
    return this->reportGone(Id);
  LeaseReport Report = this->report(*Held);
  if (Report.State == LeaseState::Running)
    return Report;
  bool NeverStarted = Report.State == LeaseState::Held;
  this->bury(Id, LeaseState::Unknown,
             NeverStarted ? RevokeResult::NeverStarted
                          : RevokeResult::Finished);
  return Report;
}

} // namespace vanillayard
