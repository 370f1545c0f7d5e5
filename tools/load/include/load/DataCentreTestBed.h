#ifndef VANILLAYARD_LOAD_DATACENTRETESTBED_H
#define VANILLAYARD_LOAD_DATACENTRETESTBED_H

#include "base/Ids.h"
#include "load/ProcessUsage.h"

#include "absl/status/statusor.h"

#include <memory>
#include <string>
#include <vector>

namespace vanillayard {

struct Configuration;

/// Sizes of one data centre for a measurement by SlopeSuite.
struct DataCentreTestBedSize {
  int Hosts = 2;
  int Workers = 8;
  int Accounts = 4;
  /// Guarantee of the first account, in cells of one whole worker each.
  int GuaranteedWorkers = 0;
};

/// A running data centre whose host processes can be measured. Calls block.
class DataCentreTestBed {
public:
  virtual ~DataCentreTestBed() = default;

  virtual std::vector<Endpoint> callerAddresses() const = 0;
  /// Admin addresses of the hosts, in the order of callerAddresses().
  virtual std::vector<Endpoint> adminAddresses() const = 0;
  virtual absl::StatusOr<ProcessUsage> usageOf(size_t Host) = 0;
  virtual absl::Status killHost(size_t Host) = 0;
  /// Writes the next generation of the configuration and returns it.
  virtual absl::StatusOr<int64_t> changeConfiguration() = 0;
};

/// Starts data centres.
class DataCentreTestBedFactory {
public:
  virtual ~DataCentreTestBedFactory() = default;
  virtual absl::StatusOr<std::unique_ptr<DataCentreTestBed>>
  start(const DataCentreTestBedSize &Size) = 0;
};

} // namespace vanillayard

#endif
