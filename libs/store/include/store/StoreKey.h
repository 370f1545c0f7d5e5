#ifndef VANILLAYARD_STORE_STOREKEY_H
#define VANILLAYARD_STORE_STOREKEY_H

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace vanillayard {

/// Longest key of an item in the store, in bytes. From the platform's protocol.
inline constexpr size_t MaxStoreKeyBytes = 200;

/// Whether \p Key can be sent to the store: 1 to MaxStoreKeyBytes bytes of
/// printable ASCII without spaces.
inline bool isStoreKey(std::string_view Key) {
  return !Key.empty() && Key.size() <= MaxStoreKeyBytes &&
         std::all_of(Key.begin(), Key.end(),
                     [](char C) { return C > ' ' && C <= '~'; });
}

} // namespace vanillayard

#endif
