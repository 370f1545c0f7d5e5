#ifndef VANILLAYARD_FLEET_FLEETCONFIGURATION_H
#define VANILLAYARD_FLEET_FLEETCONFIGURATION_H

#include "fleet/AccountSettings.h"
#include "fleet/Queue.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace vanillayard {

/// The operators' complete configuration of queues and client accounts.
struct FleetConfiguration {
  /// Increases with each change, not always by 1.
  int64_t Version = 0;
  std::vector<Queue> Queues;
  std::vector<AccountSettings> Accounts;
  size_t MaxHeaderBytes = 16384;
  size_t MaxBodyBytes = 262144;
  absl::Duration HeaderTimeout = absl::Seconds(3);
  absl::Duration IdleTimeout = absl::Seconds(15);
  /// Names of the parts that could not be read. Entries are left out, other
  /// parts keep their defaults.
  std::vector<std::string> InvalidSections;
};

} // namespace vanillayard

#endif
