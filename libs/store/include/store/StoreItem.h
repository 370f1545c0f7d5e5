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
  /// Revision of the store when the item was read by its key, where a watch
  /// can begin; 0 if the item comes from elsewhere.
  int64_t StoreRevision = 0;
};

} // namespace vanillayard

#endif
