#include "RepeatableRunner.h"

#include "RunnerHost.h"
#include "base/ErrorKind.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace vanillayard {

// The lease must outlive the run; the worker ends it if this host dies.
static constexpr absl::Duration LeaseMargin = absl::Seconds(5);

void RepeatableRunner::start(const LivePtr &R,
                             const WorkerTable::Reservation &Place) {
  R->At = LiveRequest::Stage::Running;
  this->launch(R, Place);
  this->scheduleHedge(R, Place.Worker);
}

void RepeatableRunner::launch(const LivePtr &R,
                              const WorkerTable::Reservation &Place) {
  Executor &Exec = this->Host.executor();
  const WorkerCapacity &View = this->Host.table().view(Place.Worker);
  absl::Time Now = Exec.now();
  absl::Duration Remaining = R->Request.Deadline - Now;
  LeaseRequest Lease;
  Lease.Lease =
      LeaseId(fmt::format("{}.{}", R->Request.Id.str(), ++R->Attempts));
  Lease.Owner = R->Request.Id.str();
  Lease.Account = R->Request.Account;
  Lease.Kind = R->Request.Kind;
  Lease.Ttl = Remaining + LeaseMargin;
  Lease.Holder = Epoch{1, this->Host.hostId()};
  Lease.Reclaimable = true;
  ++R->OpenSteps;
  ++R->UnresolvedStarts;
  R->OpenRuns.push_back({Lease.Lease, View.Address});
  this->Host.workers().run(View.Address, Lease, R->Request.Body, Remaining,
                           [this, Weak = LiveWeak(R), Place, Id = Lease.Lease,
                            Now](absl::StatusOr<TaskResult> Result) {
                             if (LivePtr Live = Weak.lock())
                               this->onResult(*Live, Place, Id, Now,
                                              std::move(Result));
                           });
}

void RepeatableRunner::scheduleHedge(const LivePtr &R, size_t FirstWorker) {
  absl::Duration Delay = this->Host.hedgeDelay(*R);
  Executor &Exec = this->Host.executor();
  if (Exec.now() + Delay >= R->Request.Deadline)
    return;
  Exec.cancel(R->Wait);
  R->Wait = Exec.runAfter(Delay, [this, Weak = LiveWeak(R), FirstWorker] {
    LivePtr Live = Weak.lock();
    if (!Live || Live->isAnswered() || Live->OpenRuns.size() != 1 ||
        this->Host.table().room() <= 0)
      return;
    size_t Avoid[] = {FirstWorker};
    if (!this->Host.takeHedge(*Live))
      return;
    if (auto Place = this->Host.table().reserve(Avoid, true))
      this->launch(Live, *Place);
  });
}

void RepeatableRunner::stopOthers(LiveRequest &R) {
  for (const LiveRequest::OpenRun &Open : R.OpenRuns)
    this->Host.workers().stop(Open.Address, Open.Lease,
                              Epoch{1, this->Host.hostId()},
                              [](const absl::StatusOr<LeaseReport> &) {});
}

void RepeatableRunner::onResult(LiveRequest &R,
                                const WorkerTable::Reservation &Place,
                                const LeaseId &Lease, absl::Time Sent,
                                absl::StatusOr<TaskResult> Result) {
  absl::Time Now = this->Host.executor().now();
  WorkerTable &Table = this->Host.table();
  std::erase_if(R.OpenRuns, [&](const LiveRequest::OpenRun &Open) {
    return Open.Lease == Lease;
  });
  if (Result.ok() && Result->Lease != Lease)
    Result = makeError(ErrorKind::AnswerMismatch,
                       "the worker answered for another lease");
  if (Result.ok() && Result->State != LeaseState::Finished)
    Result = makeError(ErrorKind::TaskFailed, "the task did not finish");
  if (Result.ok()) {
    --R.UnresolvedStarts;
    Table.onSuccess(Place.Worker, Now);
    Table.release(Place, Result->FreeSlots, Now);
    this->Host.noteSuccess(R, Now - Sent);
    this->stopOthers(R);
    this->Host.finish(R, RequestAnswer{R.Request.Id, std::move(Result->Body),
                                       Table.view(Place.Worker).Id});
  } else {
    Table.release(Place, -1, Now);
    this->onError(R, Place.Worker, Result.status());
  }
  this->Host.endStep(R);
}

void RepeatableRunner::onError(LiveRequest &R, size_t Worker,
                               const absl::Status &Error) {
  absl::Time Now = this->Host.executor().now();
  WorkerTable &Table = this->Host.table();
  ErrorKind Kind = errorKindOf(Error);
  bool NotRun = isProvablyNotRun(Error);
  if (NotRun || Kind == ErrorKind::TaskFailed)
    --R.UnresolvedStarts;
  // The error of an attempt that was stopped says nothing about the worker.
  if (R.isAnswered())
    return;
  if (Kind == ErrorKind::NoCapacity) {
    Table.onRefused(Worker, Now);
  } else if (!NotRun) {
    R.Ran |= Kind == ErrorKind::TaskFailed;
    // A call that the request's own deadline ended says nothing about the
    // worker. Counted as failures, late requests of a flood ejected sound
    // workers.
    bool IsLate = Now >= R.Request.Deadline && Kind != ErrorKind::TaskFailed;
    if (!IsLate) {
      if (Kind != ErrorKind::TaskFailed)
        Table.onLost(Worker, Now);
      Table.onFailure(Worker, R.FailedOn, Now);
    }
    R.FailedOn.push_back(Worker);
  }
  // A hedged attempt may still succeed.
  if (!R.OpenRuns.empty())
    return;
  if (Kind == ErrorKind::NoCapacity)
    this->Host.requeue(R);
  else if (!this->Host.retry(R, NotRun))
    this->Host.finish(R, Error);
}

} // namespace vanillayard
