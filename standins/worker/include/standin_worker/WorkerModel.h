#ifndef VANILLAYARD_STANDIN_WORKER_WORKERMODEL_H
#define VANILLAYARD_STANDIN_WORKER_WORKERMODEL_H

#include "base/Executor.h"
#include "endpoint/WorkerTypes.h"
#include "standin_worker/ExecutionRecord.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace vanillayard {

/// Model of a worker without network I/O: slots, accelerators, leases and tasks
/// on the clock of an Executor. Errors are those of WorkerClient.
///
/// A task starts at most once for each lease id. Leases that ended without a
/// result, were revoked or were released leave a tombstone, so that a delayed
/// acquire or start cannot bring them back.
///
/// \code
///   auto Model = WorkerModel::Builder(Exec).name(WorkerId("w1")).build();
///   (*Model)->acquire(Request);
///   (*Model)->startAndWait(Lease, Holder, Body, [](auto Result) { ... });
/// \endcode
class WorkerModel {
public:
  /// Called once when the task has ended, possibly before the call that takes
  /// the waiter returns.
  using Waiter = std::function<void(absl::StatusOr<TaskResult>)>;

  /// How long after the end of its task the result of run() is kept for a
  /// repeated run(). Callers of run() do not release its lease.
  static constexpr absl::Duration RunResultRetention = absl::Seconds(60);
  /// How long the tombstone of a lease is kept.
  static constexpr absl::Duration TombstoneRetention = absl::Hours(1);

  class Builder {
  public:
    explicit Builder(Executor &Exec) : Exec(&Exec) {}
    /// Required.
    Builder &name(WorkerId Value);
    /// Default "rack".
    Builder &rack(RackId Value);
    /// Default 8.
    Builder &slots(int Value);
    /// Maximum number of calls that wait for a result at the same time.
    /// Default 64.
    Builder &connections(int Value);
    /// Default 8.
    Builder &accelerators(int Value);
    /// Run time of a task whose body sets none. Default 5 ms.
    Builder &defaultRunTime(absl::Duration Value);
    /// Time to write a checkpoint. Default 500 ms.
    Builder &checkpointTime(absl::Duration Value);
    /// Delay after which a change of the usage shows in the status.
    /// Default 2 s.
    Builder &usageLag(absl::Duration Value);
    /// Incarnation of the first start; a restart appends its number.
    /// Default: the name.
    Builder &incarnation(std::string Value);
    /// Errors: InvalidArgument for a missing name or a negative number.
    absl::StatusOr<std::unique_ptr<WorkerModel>> build() const;

  private:
    friend class WorkerModel;
    Executor *Exec;
    WorkerId Name;
    RackId Rack = RackId("rack");
    int Slots = 8;
    int Connections = 64;
    int Accelerators = 8;
    absl::Duration DefaultRunTime = absl::Milliseconds(5);
    absl::Duration CheckpointTime = absl::Milliseconds(500);
    absl::Duration UsageLag = absl::Seconds(2);
    std::string Incarnation;
  };

  ~WorkerModel();
  WorkerModel(const WorkerModel &) = delete;
  WorkerModel &operator=(const WorkerModel &) = delete;

  WorkerStatus status() const;
  /// Changes whenever status() changes in more than run times.
  std::string version() const;
  int freeSlots() const;
  const WorkerId &name() const { return this->Options.Name; }

  absl::StatusOr<LeaseReport> acquire(const LeaseRequest &Request);
  RenewResult renew(const std::vector<LeaseId> &Leases, const Epoch &Holder,
                    absl::Duration Ttl);
  absl::StatusOr<LeaseReport> start(const LeaseId &Id, const Epoch &Holder,
                                    const std::string &Body);
  void startAndWait(const LeaseId &Id, const Epoch &Holder,
                    const std::string &Body, Waiter Done);
  void run(const LeaseRequest &Request, const std::string &Body, Waiter Done);
  TaskResult query(const LeaseId &Id) const;
  RevokeResult revoke(const LeaseId &Id);
  absl::StatusOr<LeaseReport> stop(const LeaseId &Id, const Epoch &Holder);
  absl::StatusOr<LeaseReport> checkpoint(const LeaseId &Id,
                                         const Epoch &Holder);
  absl::StatusOr<LeaseReport> throttle(const LeaseId &Id, const Epoch &Holder,
                                       double Share);
  /// Does not release the lease of a running task; reports it as running.
  absl::StatusOr<LeaseReport> release(const LeaseId &Id);

  /// A draining worker grants no new leases.
  void setDraining(bool Value);
  bool isDraining() const { return this->Draining; }
  /// While set, every task that starts fails almost at once.
  void setFailEverything(bool Value) { this->FailEverything = Value; }
  /// Ends all tasks and discards leases, tombstones and waiters; the waiters
  /// are not called.
  void restart();

  /// Every run since the model was built, restarts included.
  const std::vector<ExecutionRecord> &executions() const {
    return this->ExecutionLog;
  }

private:
  struct Lease;
  using LeaseMap = std::map<LeaseId, std::unique_ptr<Lease>>;
  struct Tombstone {
    LeaseState State = LeaseState::Unknown;
    RevokeResult RevokeAnswer = RevokeResult::Unknown;
  };
  struct UsageSample {
    absl::Time At;
    /// Share of the slots in use, 0 to 1.
    double Share = 0;
  };

  explicit WorkerModel(const Builder &Options);

  Lease *find(const LeaseId &Id) const;
  absl::Status admit(const LeaseRequest &Request) const;
  /// Answers a repeated acquire() of a lease that the worker knows.
  absl::StatusOr<LeaseReport> reacquire(Lease &L, const LeaseRequest &Request);
  Lease &insert(const LeaseRequest &Request);
  absl::Status checkEpoch(Lease &L, const Epoch &Holder);
  LeaseReport report(const Lease &L) const;
  LeaseReport reportTombstone(const LeaseId &Id) const;
  void armExpiry(Lease &L, absl::Duration Ttl);
  void expireLease(const LeaseId &Id);
  void beginTask(Lease &L, const std::string &Body);
  void scheduleEnd(Lease &L);
  void updateProgress(Lease &L);
  void finishTask(const LeaseId &Id);
  void endTask(Lease &L, LeaseState State);
  void retainRunResult(Lease &L);
  void addWaiter(Lease &L, Waiter Done);
  void answerWaiters(Lease &L);
  absl::StatusOr<TaskResult> resultForWaiters(const Lease &L) const;
  /// Removes the lease, if there is one, and records a tombstone for \p Id.
  void replaceWithTombstone(const LeaseId &Id, LeaseState State,
                            RevokeResult RevokeAnswer);
  /// Advances version() and samples the usage.
  void recordChange();
  void dropExpiredTombstones();
  /// Usage as of UsageLag ago.
  double laggedUsage() const;
  int waitingCalls() const;

  const Builder Options;
  Executor &Exec;
  /// Active leases, and ended ones whose owner has not released them.
  LeaseMap Leases;
  /// Leases of ended run() calls, with their results. They are kept apart from
  /// Leases because they are many, use no capacity and have no owner that could
  /// recover them.
  LeaseMap RunResults;
  std::map<LeaseId, Tombstone> Tombstones;
  /// Tombstones by creation time, oldest first.
  std::deque<std::pair<absl::Time, LeaseId>> TombstoneOrder;
  std::vector<ExecutionRecord> ExecutionLog;
  std::deque<UsageSample> UsageSamples;
  std::string Incarnation;
  uint64_t ChangeCount = 0;
  int Restarts = 0;
  bool Draining = false;
  bool FailEverything = false;
};

} // namespace vanillayard

#endif
