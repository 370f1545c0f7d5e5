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

/// A worker without its sockets: slots, accelerators, leases and tasks on the
/// clock of an Executor. Errors are those of WorkerClient.
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
  /// Called once when the task has ended, possibly from inside the call.
  using Waiter = std::function<void(absl::StatusOr<TaskResult>)>;

  /// How long the result of run() is kept for a repeated run() after its
  /// task ended. Nobody releases these leases.
  static constexpr absl::Duration RunResultRetention = absl::Seconds(60);
  /// How long a lease that is gone is remembered.
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
    /// Calls that may wait for a result at one time. Default 64.
    Builder &connections(int Value);
    /// Default 8.
    Builder &accelerators(int Value);
    /// Run time of a task whose body does not say. Default 5 ms.
    Builder &defaultRunTime(absl::Duration Value);
    /// Time to write a checkpoint. Default 500 ms.
    Builder &checkpointTime(absl::Duration Value);
    /// Age of the usage in a status. Default 2 s.
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
  /// Differs whenever the status differs in more than run times.
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
  /// A running lease is reported as running and kept.
  absl::StatusOr<LeaseReport> release(const LeaseId &Id);

  /// A draining worker grants no new lease.
  void setDraining(bool Value);
  bool isDraining() const { return this->Draining; }
  /// Every task that starts from now on fails at once.
  void setFailEverything(bool Value) { this->FailEverything = Value; }
  /// Ends all tasks, forgets leases and tombstones and drops all waiters.
  void restart();

  /// Every run since the model was built, restarts included.
  const std::vector<ExecutionRecord> &executions() const { return this->Log; }

private:
  struct Lease;
  using LeaseMap = std::map<LeaseId, std::unique_ptr<Lease>>;
  struct Tombstone {
    LeaseState State = LeaseState::Unknown;
    RevokeResult RevokeAnswer = RevokeResult::Unknown;
  };
  struct UsageSample {
    absl::Time At;
    double Share = 0;
  };

  explicit WorkerModel(const Builder &Options);

  Lease *find(const LeaseId &Id) const;
  absl::Status admit(const LeaseRequest &Request) const;
  absl::StatusOr<LeaseReport> existing(Lease &Found, const LeaseRequest &Again);
  Lease &insert(const LeaseRequest &Request);
  absl::Status checkEpoch(Lease &Held, const Epoch &Holder);
  LeaseReport report(const Lease &Held) const;
  LeaseReport reportGone(const LeaseId &Id) const;
  void armExpiry(Lease &Held, absl::Duration Ttl);
  void expire(const LeaseId &Id);
  void begin(Lease &Held, const std::string &Body);
  void scheduleEnd(Lease &Held);
  void accountProgress(Lease &Held);
  void finish(const LeaseId &Id);
  void end(Lease &Held, LeaseState State);
  void keepRunResult(Lease &Held);
  void wait(Lease &Held, Waiter Done);
  void answerWaiters(Lease &Held);
  absl::StatusOr<TaskResult> waitedResult(const Lease &Held) const;
  void bury(const LeaseId &Id, LeaseState State, RevokeResult RevokeAnswer);
  void changed();
  void dropExpiredTombstones();
  double laggedUsage() const;
  int waitingCalls() const;

  const Builder Options;
  Executor &Exec;
  /// Active leases, and ended ones whose owner has not released them.
  LeaseMap Leases;
  /// Ended leases of run(). They are kept apart because there are many and
  /// they take no capacity and belong to nobody who could recover them.
  LeaseMap RunResults;
  std::map<LeaseId, Tombstone> Tombstones;
  std::deque<std::pair<absl::Time, LeaseId>> TombstoneOrder;
  std::vector<ExecutionRecord> Log;
  std::deque<UsageSample> Samples;
  std::string Incarnation;
  uint64_t Changes = 0;
  int Restarts = 0;
  bool Draining = false;
  bool FailEverything = false;
};

} // namespace vanillayard

#endif
