#ifndef VANILLAYARD_LOAD_CLUSTERTESTBED_H
#define VANILLAYARD_LOAD_CLUSTERTESTBED_H

#include "load/TestBed.h"

#include <memory>

namespace vanillayard {

class Cluster;

/// A deployment whose hosts and workers are real processes on loopback.
class ClusterTestBed final : public TestBed {
public:
  ClusterTestBed(Deployment TestDeployment, std::unique_ptr<Cluster> Processes);
  ~ClusterTestBed() override;

  const Deployment &deployment() const override { return this->TestDeployment; }
  std::vector<Endpoint> entryHosts() const override;
  absl::Status restartHost(size_t Index) override;
  absl::Status failWorker(bool Fails) override;
  absl::StatusOr<int> tasksFailed() override;
  absl::StatusOr<std::vector<WorkerOccupancy>> occupancy() override;

private:
  Deployment TestDeployment;
  std::unique_ptr<Cluster> Processes;
};

/// Starts test beds whose hosts run with the given policies.
class ClusterTestBedFactory final : public TestBedFactory {
public:
  absl::StatusOr<std::unique_ptr<TestBed>>
  start(const Deployment &TestDeployment, PolicyChoice Policy) override;
};

} // namespace vanillayard

#endif
