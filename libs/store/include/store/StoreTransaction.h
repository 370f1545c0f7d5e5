#ifndef VANILLAYARD_STORE_STORETRANSACTION_H
#define VANILLAYARD_STORE_STORETRANSACTION_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace vanillayard {

/// Changes that the store applies atomically, if all conditions hold.
struct StoreTransaction {
  /// Maximum number of conditions, puts and removes together.
  static constexpr size_t MaxEntries = 32;

  struct Condition {
    std::string Key;
    /// Revision that the key's last change must have; 0 if the key must not
    /// exist.
    int64_t Revision = 0;
  };
  struct Put {
    std::string Key;
    std::string Value;
    /// Lease that the key is attached to, 0 for none. The store deletes the key
    /// when the lease ends.
    int64_t Lease = 0;
  };

  std::vector<Condition> Conditions;
  std::vector<Put> Puts;
  std::vector<std::string> Removes;

  size_t entryCount() const {
    return this->Conditions.size() + this->Puts.size() + this->Removes.size();
  }
};

} // namespace vanillayard

#endif
