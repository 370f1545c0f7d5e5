#ifndef VANILLAYARD_STORE_TESTING_FAKESTOREDATA_H
#define VANILLAYARD_STORE_TESTING_FAKESTOREDATA_H

#include "store/Store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace vanillayard {

/// The content and history of an in-memory store, without latency or faults.
/// Several FakeStore clients may share one.
class FakeStoreData {
public:
  using ListenerId = uint64_t;
  using Listener = std::function<void(const std::vector<WatchEvent> &)>;

  /// Revision of the latest change; 0 before the first.
  int64_t revision() const { return this->Revision; }

  /// Keys with \p Prefix as they were at \p AtRevision, in order of key.
  RangeResult list(const std::string &Prefix, int64_t AtRevision) const;
  RangeResult get(const std::string &Key, int64_t AtRevision) const;

  /// Checks the condition of each write on its own and applies the writes
  /// whose condition holds, all at one new revision.
  std::vector<WriteResult> apply(const std::vector<ConditionalWrite> &Writes);

  /// Changes of keys with \p Prefix from \p FromRevision on.
  std::vector<WatchEvent> changesSince(const std::string &Prefix,
                                       int64_t FromRevision) const;

  /// Makes apply() call \p Changed with its changes before it returns.
  ListenerId addListener(Listener Changed);
  void removeListener(ListenerId Id);

  /// Writes a key unconditionally. \returns the new revision.
  int64_t put(const std::string &Key, const std::string &Value);
  /// Deletes a key, if it exists.
  void erase(const std::string &Key);
  std::optional<StoredValue> read(const std::string &Key) const;

private:
  std::map<std::string, StoredValue> valuesAt(int64_t AtRevision) const;
  WriteResult applyWrite(const ConditionalWrite &Write);

  int64_t Revision = 0;
  std::map<std::string, StoredValue> Values;
  /// All changes, in order.
  std::vector<WatchEvent> History;
  std::map<ListenerId, Listener> Listeners;
  ListenerId NextListener = 1;
};

} // namespace vanillayard

#endif
