#ifndef VANILLAYARD_FLEET_ACCOUNTSETTINGS_H
#define VANILLAYARD_FLEET_ACCOUNTSETTINGS_H

#include "base/Ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillayard {

/// API keys and guaranteed capacity of a client account.
struct AccountSettings {
  ClientAccountId Id;
  std::vector<std::string> ApiKeys;
  /// Accelerators that its jobs of priority 0 can use at any time; the
  /// scheduler takes them back from other jobs that run on them.
  int64_t GuaranteedAccelerators = 0;
};

} // namespace vanillayard

#endif
