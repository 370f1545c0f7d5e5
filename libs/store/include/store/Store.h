#ifndef VANILLAYARD_STORE_STORE_H
#define VANILLAYARD_STORE_STORE_H

#include "absl/status/statusor.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace vanillayard {

/// A key with its value and revision.
struct StoredValue {
  std::string Key;
  std::string Value;
  /// Revision of the last change of this key. Never 0 for a key that exists.
  int64_t ModRevision = 0;
};

/// A write that takes effect only if the key is still at an expected revision.
struct ConditionalWrite {
  std::string Key;
  /// Revision that the key must have; 0 means that it must not exist.
  int64_t ExpectedModRevision = 0;
  std::string Value;
  /// Deletes the key instead of writing \c Value.
  bool Delete = false;
};

/// Outcome of one ConditionalWrite.
struct WriteResult {
  /// True if the condition held and the write took effect.
  bool Applied = false;
  /// The key's new revision if the write was applied, else its current one;
  /// 0 if the key does not exist.
  int64_t ModRevision = 0;
  /// The key's current value if the write was not applied and the key exists.
  std::string FoundValue;
};

/// The keys and values that a read returned, with the store's revision at the
/// time of the read.
struct RangeResult {
  std::vector<StoredValue> Values;
  int64_t Revision = 0;
};

/// One change of a key, as a watch reports it.
struct WatchEvent {
  StoredValue Value;
  bool Deleted = false;
};

/// An open watch. Destroying it closes the watch; no callback runs afterwards.
class StoreWatch {
public:
  virtual ~StoreWatch() = default;
};

/// The platform's key-value service: compare-and-swap and watches.
///
/// Callbacks run on the owner's executor, never before the call returns; the
/// callback of a read or write runs once. Errors are PlatformUnavailable. A
/// write that failed with it may still have taken effect, then or later: read
/// the key again and act on what it holds.
class Store {
public:
  using RangeCallback = std::function<void(absl::StatusOr<RangeResult>)>;
  using WriteCallback =
      std::function<void(absl::StatusOr<std::vector<WriteResult>>)>;
  using WatchCallback = std::function<void(std::vector<WatchEvent>)>;
  using WatchEndCallback = std::function<void(absl::Status)>;

  virtual ~Store() = default;

  /// Reads one key. The result has at most one value.
  virtual void get(const std::string &Key, RangeCallback Done) = 0;

  /// Reads one key if it was changed after revision \p Since. The result is
  /// empty if it was not or if the key does not exist. An implementation can
  /// thus avoid transferring a value that the caller already has; the default
  /// one reads the key in any case and drops an unchanged value.
  virtual void getChanged(const std::string &Key, int64_t Since,
                          RangeCallback Done) {
    this->get(Key, [Since, Done = std::move(Done)](
                       absl::StatusOr<RangeResult> Result) {
      if (Result.ok() && !Result->Values.empty() &&
          Result->Values.front().ModRevision <= Since)
        Result->Values.clear();
      Done(std::move(Result));
    });
  }

  /// Reads all keys that begin with \p Prefix, in order of key.
  virtual void list(const std::string &Prefix, RangeCallback Done) = 0;

  /// Sends all writes as one batch; a large batch may take several calls to the
  /// service. The condition of each write is checked on its own: a write that
  /// is not applied does not prevent the others. Error besides
  /// PlatformUnavailable: InvalidRequest if a key occurs twice.
  virtual void write(std::vector<ConditionalWrite> Writes,
                     WriteCallback Done) = 0;

  /// Reports the changes of all keys that begin with \p Prefix.
  /// \param FromRevision revision of the first change to report; 0 for changes
  ///        from now on.
  /// \param Ended called once if the watch fails; the caller then has to read
  ///        the keys and open a new watch.
  virtual std::unique_ptr<StoreWatch> watch(const std::string &Prefix,
                                            int64_t FromRevision,
                                            WatchCallback Changed,
                                            WatchEndCallback Ended) = 0;
};

} // namespace vanillayard

#endif
