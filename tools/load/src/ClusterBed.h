#ifndef VANILLAYARD_LOAD_CLUSTERBED_H
#define VANILLAYARD_LOAD_CLUSTERBED_H

#include "load/TestBed.h"

#include <memory>

namespace vanillayard {

class Cluster;

/// A test bed of real processes on loopback.
class ClusterBed final : public TestBed {
public:
  ClusterBed(Deployment Size, std::unique_ptr<Cluster> Processes);
  ~ClusterBed() override;

  const Deployment &deployment() const override { return this->Size; }
  std::vector<Endpoint> entryHosts() const override;
  absl::Status restartHost(size_t Index) override;
  absl::Status failWorker(bool Fails) override;
  absl::StatusOr<int> tasksFailed() override;
  absl::StatusOr<std::vector<WorkerOccupancy>> occupancy() override;

private:
  Deployment Size;
  std::unique_ptr<Cluster> Processes;
};

/// Starts test beds whose hosts run with the policies chosen.
class ClusterBedFactory final : public TestBedFactory {
public:
  absl::StatusOr<std::unique_ptr<TestBed>> start(const Deployment &Size,
                                                 PolicyChoice Policy) override;
};

} // namespace vanillayard

#endif
