#ifndef VANILLAYARD_STORE_STOREITEM_H
#define VANILLAYARD_STORE_STOREITEM_H

#include <cstdint>
#include <string>

namespace vanillayard {

/// A key with its value.
struct StoreItem {
  std::string Key;
  std::string Value;
  /// Revision of the key's last change.
  int64_t Revision = 0;
  /// Revision of the store when CoordinationStore::get() read the item, after
  /// which a watch can start; 0 if another call returned the item.
  int64_t StoreRevision = 0;
};

} // namespace vanillayard

#endif
