#ifndef VANILLAYARD_STORE_STORELISTING_H
#define VANILLAYARD_STORE_STORELISTING_H

#include "store/StoreItem.h"

#include <cstdint>
#include <vector>

namespace vanillayard {

/// The items whose key starts with a prefix.
struct StoreListing {
  std::vector<StoreItem> Items;
  /// Revision of the store when the first page was read. A watch that starts
  /// after it misses no change, but reports again the changes that the later
  /// pages already show.
  int64_t Revision = 0;
};

} // namespace vanillayard

#endif
