#ifndef VANILLAYARD_STORE_STORECHANGES_H
#define VANILLAYARD_STORE_STORECHANGES_H

#include "store/StoreChange.h"

#include <cstdint>
#include <vector>

namespace vanillayard {

/// Result of CoordinationStore::awaitChanges().
struct StoreChanges {
  std::vector<StoreChange> Changes;
  /// Revision after which the next awaitChanges() continues.
  int64_t Revision = 0;
  /// True if the store has discarded some of the requested changes; the caller
  /// then has to list the keys again.
  bool IsHistoryLost = false;
};

} // namespace vanillayard

#endif
