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

/// Simulated workers and their injected faults, shared by the FakeFleetClient
/// clients of a test. Must outlive those clients.
///
/// \code
///   FakeWorkerFleet Fleet(Exec);
///   Fleet.add(Endpoint("w1:1"), WorkerModel::Builder(Exec).name(...));
///   FakeFleetClient Client(Exec, Fleet);
///   Fleet.faults(Endpoint("w1:1")).LoseAnswers = 1;
///   Fleet.kill(Endpoint("w1:1"));
/// \endcode
class FakeWorkerFleet {
public:
  explicit FakeWorkerFleet(Executor &Exec) : Exec(Exec) {}

  /// Adds a worker. The builder must be valid.
  WorkerModel &add(const Endpoint &Address, const WorkerModel::Builder &Worker);

  /// model(), faults(), kill(), restart() and setFrozen() require that the
  /// worker exists.
  WorkerModel &model(const Endpoint &Address);
  WorkerFaults &faults(const Endpoint &Address);
  bool exists(const Endpoint &Address) const;
  bool isAlive(const Endpoint &Address) const;
  std::vector<Endpoint> addresses() const;

  /// Simulates the end of the worker's process: its tasks end, its leases are
  /// lost, calls in progress get no answer, and later calls are refused.
  void kill(const Endpoint &Address);
  /// Starts a killed worker with a new incarnation.
  void restart(const Endpoint &Address);
  /// Sets the fault Frozen. Clearing it executes the calls that arrived while
  /// the worker was frozen.
  void setFrozen(const Endpoint &Address, bool Frozen);

  /// Task executions of all workers, ordered by worker address and start time.
  std::vector<ExecutionRecord> executions() const;

private:
  friend class FakeFleetClient;

  struct Worker {
    std::unique_ptr<WorkerModel> Model;
    WorkerFaults Faults;
    bool Alive = true;
    /// Calls that arrived while the worker was frozen.
    std::vector<std::function<void()>> Waiting;
    /// For each call in progress, the function that fails it when the worker
    /// is killed.
    std::map<uint64_t, std::function<void()>> OnKill;
  };

  Worker &worker(const Endpoint &Address);

  Executor &Exec;
  std::map<Endpoint, Worker> Workers;
  uint64_t NextCall = 1;
};

} // namespace vanillayard

#endif
