#ifndef VANILLAYARD_STORE_STORECOMMIT_H
#define VANILLAYARD_STORE_STORECOMMIT_H

#include "store/StoreItem.h"

#include <cstdint>
#include <vector>

namespace vanillayard {

/// Result of a transaction that the store has applied or rejected.
struct StoreCommit {
  /// False if a condition did not hold; then nothing was changed.
  bool IsApplied = false;
  /// Revision of the change, if applied.
  int64_t Revision = 0;
  /// If not applied: the current items of the conditions' keys, without those
  /// that do not exist.
  std::vector<StoreItem> Found;
};

} // namespace vanillayard

#endif
