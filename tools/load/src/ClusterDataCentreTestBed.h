#ifndef VANILLAYARD_LOAD_CLUSTERDATACENTRETESTBED_H
#define VANILLAYARD_LOAD_CLUSTERDATACENTRETESTBED_H

#include "config/Configuration.h"
#include "load/DataCentreTestBed.h"

#include <memory>

namespace vanillayard {

class Cluster;

/// A data centre whose hosts and workers are real processes on loopback.
class ClusterDataCentreTestBed final : public DataCentreTestBed {
public:
  ClusterDataCentreTestBed(Configuration Config,
                           std::unique_ptr<Cluster> Processes);
  ~ClusterDataCentreTestBed() override;

  std::vector<Endpoint> callerAddresses() const override;
  std::vector<Endpoint> adminAddresses() const override;
  absl::StatusOr<ProcessUsage> usageOf(size_t Host) override;
  absl::Status killHost(size_t Host) override;
  absl::StatusOr<int64_t> changeConfiguration() override;

private:
  Configuration Config;
  std::unique_ptr<Cluster> Processes;
};

class ClusterDataCentreTestBedFactory final : public DataCentreTestBedFactory {
public:
  absl::StatusOr<std::unique_ptr<DataCentreTestBed>>
  start(const DataCentreTestBedSize &Size) override;
};

} // namespace vanillayard

#endif
