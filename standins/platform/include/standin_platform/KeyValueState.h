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

/// A key, its value and its attributes as in the etcd v3 protocol.
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
  KeyValue After;
  bool Deleted = false;
  std::optional<KeyValue> Before;
};

/// A range of keys as in the etcd v3 protocol: \c End empty for one key, "\0"
/// for all keys from \c Key on, else all keys from \c Key to before \c End.
struct KeyRange {
  std::string Key;
  std::string End;

  bool contains(const std::string &Other) const;
};

/// The keys of the stand-in's key-value service and their recent history. Does
/// no I/O and does not depend on time.
class KeyValueState {
public:
  /// Number of changes kept for watches that start at an earlier revision and
  /// for reads of earlier revisions.
  static constexpr size_t MaxHistory = 100000;

  using Listener = std::function<void(const std::vector<KeyEvent> &)>;

  /// Current revision. The first is 1, as in etcd.
  int64_t revision() const { return this->Revision; }
  /// Oldest revision at which a watch can start. A read can go one revision
  /// further back.
  int64_t compactRevision() const { return this->CompactRevision; }

  /// Keys of a range in order, as of \p AtRevision; 0 for the current
  /// revision.
  std::vector<KeyValue> range(const KeyRange &Range,
                              int64_t AtRevision = 0) const;
  std::optional<KeyValue> get(const std::string &Key) const;

  /// begin() and commit() enclose a transaction: its changes by put() and
  /// erase() share one new revision. Without a change the revision stays.
  void begin();
  void put(const std::string &Key, const std::string &Value, int64_t Lease);
  /// Returns the deleted keys.
  std::vector<KeyValue> erase(const KeyRange &Range);
  void commit();

  /// Returns the changes from \p FromRevision on that are still kept.
  std::vector<KeyEvent> eventsSince(int64_t FromRevision) const;

  /// Sets a listener that commit() calls with the changes of the transaction.
  void onCommit(Listener Changed) { this->Changed = std::move(Changed); }

private:
  std::map<std::string, KeyValue> valuesAt(int64_t AtRevision) const;

  int64_t Revision = 1;
  int64_t CompactRevision = 1;
  std::map<std::string, KeyValue> Values;
  /// Changes of the open transaction.
  std::vector<KeyEvent> Uncommitted;
  /// Oldest change first.
  std::deque<KeyEvent> History;
  Listener Changed;
};

} // namespace vanillayard

#endif
