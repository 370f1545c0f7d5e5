#ifndef VANILLAYARD_LOAD_TESTBED_H
#define VANILLAYARD_LOAD_TESTBED_H

#include "base/Ids.h"
#include "load/Deployment.h"

#include "absl/status/statusor.h"

#include <memory>
#include <vector>

namespace vanillayard {

/// Which policies the entry hosts run with.
enum class PolicyChoice {
  /// First in first out, random worker, first fit, no retry budget.
  Baseline,
  /// The product's policies.
  Chosen,
};

/// What runs on one worker.
struct WorkerOccupancy {
  DataCentreId DataCentre;
  RackId Rack;
  int BusyAccelerators = 0;
};

/// A running deployment under test. Calls block until their effect is there.
class TestBed {
public:
  virtual ~TestBed() = default;

  virtual const Deployment &deployment() const = 0;
  /// Addresses for callers.
  virtual std::vector<Endpoint> entryHosts() const = 0;
  /// Stops a host gracefully and starts another in its place, at the same
  /// address. Errors: Internal if it did not exit with 0.
  virtual absl::Status restartHost(size_t Index) = 0;
  /// Makes a worker of the first data centre fail every task that it starts.
  virtual absl::Status failWorker(bool Fails) = 0;
  /// Tasks that the worker of failWorker() has failed.
  virtual absl::StatusOr<int> tasksFailed() = 0;
  virtual absl::StatusOr<std::vector<WorkerOccupancy>> occupancy() = 0;
};

/// Starts deployments.
class TestBedFactory {
public:
  virtual ~TestBedFactory() = default;
  virtual absl::StatusOr<std::unique_ptr<TestBed>>
  start(const Deployment &Size, PolicyChoice Policy) = 0;
};

} // namespace vanillayard

#endif
