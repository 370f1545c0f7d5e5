#ifndef VANILLAYARD_STANDIN_PLATFORM_KEYVALUESTATE_H
#define VANILLAYARD_STANDIN_PLATFORM_KEYVALUESTATE_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace vanillayard {

/// One key with the attributes that the etcd v3 protocol knows.
struct KeyValue {
  std::string Key;
  std::string Value;
  int64_t CreateRevision = 0;
  int64_t ModRevision = 0;
  /// Number of writes since the key was created.
  int64_t Version = 0;
  int64_t Lease = 0;
};

/// One change of a key.
struct KeyEvent {
  /// The key after the change. After a deletion only Key and ModRevision are
  /// set.
  KeyValue Now;
  bool Deleted = false;
  std::optional<KeyValue> Before;
};

/// A range of keys as the protocol gives it: \c End empty for one key, "\0"
/// for all keys from \c Key on, else all keys from \c Key to before \c End.
struct KeyRange {
  std::string Key;
  std::string End;

  bool contains(const std::string &Other) const;
};

/// The content of the stand-in's key-value service with its recent history.
/// Pure state: no sockets, no time.
class KeyValueState {
public:
  /// Changes kept for watches that begin in the past and for stale reads.
  static constexpr size_t MaxHistory = 100000;

  using Listener = std::function<void(const std::vector<KeyEvent> &)>;

  /// Starts at 1, as the service does.
  int64_t revision() const { return this->Revision; }
  /// Oldest revision that a watch or a read may name.
  int64_t compactRevision() const { return this->CompactRevision; }

  /// Keys of a range in order. \p AtRevision 0 is the present.
  std::vector<KeyValue> range(const KeyRange &Range,
                              int64_t AtRevision = 0) const;
  std::optional<KeyValue> get(const std::string &Key) const;

  /// put() and erase() between begin() and commit() share one revision, which
  /// is used up only if something changed.
  void begin();
  void put(const std::string &Key, const std::string &Value, int64_t Lease);
  /// \returns the keys that were deleted.
  std::vector<KeyValue> erase(const KeyRange &Range);
  void commit();

  /// Changes from \p FromRevision on that are still kept.
  std::vector<KeyEvent> eventsSince(int64_t FromRevision) const;

  /// Called from inside commit() with the changes of the transaction.
  void onCommit(Listener Changed) { this->Changed = std::move(Changed); }

private:
  std::map<std::string, KeyValue> valuesAt(int64_t AtRevision) const;

  int64_t Revision = 1;
  int64_t CompactRevision = 1;
  std::map<std::string, KeyValue> Values;
  std::vector<KeyEvent> Open;
  std::deque<KeyEvent> History;
  Listener Changed;
};

} // namespace vanillayard

#endif
