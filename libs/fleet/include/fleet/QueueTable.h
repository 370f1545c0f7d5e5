#ifndef VANILLAYARD_FLEET_QUEUETABLE_H
#define VANILLAYARD_FLEET_QUEUETABLE_H

#include "fleet/FleetConfiguration.h"

#include "absl/container/flat_hash_map.h"

#include <string>
#include <string_view>

namespace vanillayard {

/// Looks up queues and client accounts in one version of the configuration.
/// Immutable.
class QueueTable {
public:
  explicit QueueTable(FleetConfiguration Configuration);

  const FleetConfiguration &configuration() const {
    return this->Configuration;
  }

  /// Returns the queue of \p HostName with the longest prefix of \p Path, or
  /// null if no queue matches. \p HostName may end in a port, which is ignored.
  /// The pointer is valid as long as the table.
  const Queue *findQueue(std::string_view HostName,
                         std::string_view Path) const;

  /// Returns the account that \p ApiKey belongs to, or null. The pointer is
  /// valid as long as the table.
  const AccountSettings *findAccountByKey(std::string_view ApiKey) const;

private:
  FleetConfiguration Configuration;
  absl::flat_hash_map<std::string, std::vector<size_t>> QueuesByHost;
  absl::flat_hash_map<std::string, size_t> AccountsByKey;
};

} // namespace vanillayard

#endif
