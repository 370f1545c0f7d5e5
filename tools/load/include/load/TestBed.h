#ifndef VANILLAYARD_LOAD_TESTBED_H
#define VANILLAYARD_LOAD_TESTBED_H

#include "base/Ids.h"
#include "load/Deployment.h"

#include "absl/status/statusor.h"

#include <memory>
#include <vector>

namespace vanillayard {

/// The policies that the entry hosts run with.
enum class PolicyChoice {
  /// First in first out, random worker, first fit, no retry budget.
  Baseline,
  /// The default policies of the scheduler.
  Chosen,
};

/// Number of busy accelerators of one worker.
struct WorkerOccupancy {
  DataCentreId DataCentre;
  RackId Rack;
  int BusyAccelerators = 0;
};

/// A running deployment under test. Calls block until they have taken effect.
class TestBed {
public:
  virtual ~TestBed() = default;

  virtual const Deployment &deployment() const = 0;
  /// Addresses for callers.
  virtual std::vector<Endpoint> entryHosts() const = 0;
  /// Stops a host gracefully and starts a new process at the same address.
  /// Errors: Internal if the old process did not exit with 0.
  virtual absl::Status restartHost(size_t Index) = 0;
  /// Makes one worker of the first data centre fail every task that it starts,
  /// or ends that if \p Fails is false.
  virtual absl::Status failWorker(bool Fails) = 0;
  /// Number of tasks that failed on the worker of failWorker().
  virtual absl::StatusOr<int> tasksFailed() = 0;
  virtual absl::StatusOr<std::vector<WorkerOccupancy>> occupancy() = 0;
};

/// Starts deployments.
class TestBedFactory {
public:
  virtual ~TestBedFactory() = default;
  virtual absl::StatusOr<std::unique_ptr<TestBed>>
  start(const Deployment &TestDeployment, PolicyChoice Policy) = 0;
};

} // namespace vanillayard

#endif
