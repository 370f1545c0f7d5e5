#ifndef VANILLAYARD_REQUESTS_CLAIMSTORE_H
#define VANILLAYARD_REQUESTS_CLAIMSTORE_H

#include "requests/ClaimRecord.h"
#include "store/Store.h"

#include "absl/time/time.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace vanillayard {

class Executor;

/// Reads and writes the claims of non-repeatable requests in the platform's
/// key-value store.
///
/// Writes are batched: all puts that arrive while a write is in flight go into
/// the next write. After a failed write the claim store reads the record back,
/// and the record decides whether the write took effect. After a failed call
/// or a call without an answer within the timeout the store counts as down:
/// until a call succeeds, find() reads from it once per second and fails at
/// once in between.
///
/// Every callback runs on the executor, once for each call, never from inside
/// the call, and never after the ClaimStore was destroyed.
class ClaimStore {
public:
  /// A claim and the mod revision at which it was read or written.
  struct StoredClaim {
    ClaimRecord Record;
    int64_t ModRevision = 0;
  };
  struct PutResult {
    bool Applied = false;
    /// Revision of the written record, if applied.
    int64_t ModRevision = 0;
    /// If not applied: the record that is stored under the key, if there is
    /// one.
    std::optional<StoredClaim> Existing;
  };
  using FindCallback =
      std::function<void(absl::StatusOr<std::optional<StoredClaim>>)>;
  using PutCallback = std::function<void(absl::StatusOr<PutResult>)>;

  ClaimStore(Executor &Exec, Store &Backend, absl::Duration CallTimeout);
  ~ClaimStore();

  static std::string keyOf(const ClientAccountId &Account,
                           const std::string &IdempotencyKey);

  /// Returns false while the store is down and its next probe is not due, so
  /// that find() fails at once.
  bool isAvailable() const;

  /// Reads a claim; nothing if there is none. Errors: PlatformUnavailable if
  /// the store is down; OutcomeUnknown if the record is malformed.
  void find(const std::string &Key, FindCallback Done);

  /// Writes \p Record if the mod revision of \p Key is \p ExpectedModRevision
  /// (0: the key is absent). Errors: PlatformUnavailable if it is not known
  /// whether the record was written, and it may still be written later;
  /// OutcomeUnknown if the conflicting record is malformed.
  void put(const std::string &Key, int64_t ExpectedModRevision,
           const ClaimRecord &Record, PutCallback Done);

  /// Number of write calls to the store; one call may write many claims.
  int64_t writeCount() const { return this->Writes; }

private:
  struct PendingWrite {
    ConditionalWrite Write;
    PutCallback Done;
    int Tries = 0;
  };
  using Batch = std::shared_ptr<std::vector<PendingWrite>>;

  template <typename Result>
  std::function<void(absl::StatusOr<Result>)>
  withTimeout(std::function<void(absl::StatusOr<Result>)> Done);
  void recordCallResult(bool Succeeded);
  void flush();
  void onWritten(const Batch &Written,
                 absl::StatusOr<std::vector<WriteResult>> Results);
  void readBack(PendingWrite Failed);
  void resolveFailedWrite(PendingWrite Failed, const RangeResult &Read);
  static void reportConflict(const PendingWrite &Refused,
                             const std::string &FoundValue,
                             int64_t ModRevision);

  Executor &Exec;
  Store &Backend;
  absl::Duration CallTimeout;
  std::vector<PendingWrite> Pending;
  bool WriteInFlight = false;
  bool Down = false;
  absl::Time ProbeAt = absl::InfinitePast();
  int64_t Writes = 0;
  /// Callbacks hold a weak pointer to it and do nothing once it has expired.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace vanillayard

#endif
