#ifndef VANILLAYARD_LOAD_CLUSTERFLEETBED_H
#define VANILLAYARD_LOAD_CLUSTERFLEETBED_H

#include "config/Configuration.h"
#include "load/FleetBed.h"

#include <memory>

namespace vanillayard {

class Cluster;

/// A data centre of real processes on loopback.
class ClusterFleetBed final : public FleetBed {
public:
  ClusterFleetBed(Configuration Config, std::unique_ptr<Cluster> Processes);
  ~ClusterFleetBed() override;

  std::vector<Endpoint> callerAddresses() const override;
  std::vector<Endpoint> adminAddresses() const override;
  absl::StatusOr<ProcessUsage> usageOf(size_t Host) override;
  absl::Status killHost(size_t Host) override;
  absl::StatusOr<int64_t> changeConfiguration() override;

private:
  Configuration Config;
  std::unique_ptr<Cluster> Processes;
};

class ClusterFleetBedFactory final : public FleetBedFactory {
public:
  absl::StatusOr<std::unique_ptr<FleetBed>>
  start(const FleetSize &Size) override;
};

} // namespace vanillayard

#endif
