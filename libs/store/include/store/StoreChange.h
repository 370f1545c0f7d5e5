#ifndef VANILLAYARD_STORE_STORECHANGE_H
#define VANILLAYARD_STORE_STORECHANGE_H

#include "store/StoreItem.h"

namespace vanillayard {

/// One change of a key.
struct StoreChange {
  /// The value is empty if the key was deleted.
  StoreItem Item;
  bool IsDeleted = false;
};

} // namespace vanillayard

#endif
