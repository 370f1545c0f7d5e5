#ifndef VANILLAYARD_ENDPOINT_TESTING_FAKEWORKERFLEET_H
#define VANILLAYARD_ENDPOINT_TESTING_FAKEWORKERFLEET_H

#include "base/Executor.h"
#include "base/Ids.h"
#include "standin_worker/WorkerFaults.h"
#include "standin_worker/WorkerModel.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace vanillayard {

/// The workers that the FakeWorkers clients of a test share, with their
/// faults. Must outlive those clients.
///
/// \code
///   FakeWorkerFleet Fleet(Exec);
///   Fleet.add(Endpoint("w1:1"), WorkerModel::Builder(Exec).name(...));
///   FakeWorkers Client(Exec, Fleet);
///   Fleet.faults(Endpoint("w1:1")).LoseAnswers = 1;
///   Fleet.kill(Endpoint("w1:1"));
/// \endcode
class FakeWorkerFleet {
public:
  explicit FakeWorkerFleet(Executor &Exec) : Exec(Exec) {}

  /// Adds a worker. The builder must be valid.
  WorkerModel &add(const Endpoint &Address, const WorkerModel::Builder &Worker);

  /// The worker must exist in the calls below.
  WorkerModel &model(const Endpoint &Address);
  WorkerFaults &faults(const Endpoint &Address);
  bool exists(const Endpoint &Address) const;
  bool isAlive(const Endpoint &Address) const;
  std::vector<Endpoint> addresses() const;

  /// Ends the worker's process: tasks end, leases are forgotten, calls in
  /// progress lose their answer and later calls find no connection.
  void kill(const Endpoint &Address);
  /// Starts a killed worker with a new incarnation.
  void restart(const Endpoint &Address);
  /// Sets the fault Frozen; when it ends, the calls that waited are made.
  void setFrozen(const Endpoint &Address, bool Frozen);

  /// Runs of all workers, in order of worker and start.
  std::vector<ExecutionRecord> executions() const;

private:
  friend class FakeWorkers;

  struct Worker {
    std::unique_ptr<WorkerModel> Model;
    WorkerFaults Faults;
    bool Alive = true;
    /// Calls that arrived while the worker was frozen.
    std::vector<std::function<void()>> Waiting;
    /// For each call in progress, what to do when the worker dies.
    std::map<uint64_t, std::function<void()>> OnDeath;
  };

  Worker &worker(const Endpoint &Address);

  Executor &Exec;
  std::map<Endpoint, Worker> Workers;
  uint64_t NextCall = 1;
};

} // namespace vanillayard

#endif
