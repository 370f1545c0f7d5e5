#ifndef VANILLAYARD_STORE_COORDINATIONSTORE_H
#define VANILLAYARD_STORE_COORDINATIONSTORE_H

#include "store/StoreChanges.h"
#include "store/StoreCommit.h"
#include "store/StoreListing.h"
#include "store/StoreTransaction.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace vanillayard {

/// Port for a linearizable key-value service with transactions, leases and
/// long-polling watches.
///
/// Each callback runs once, on the owner's executor, and never before the call
/// returns. Errors: PlatformUnavailable if the call had no effect;
/// OutcomeUnknown if no answer arrived, so that a change may have taken effect
/// or may still do so later; NotFound for a lease that has expired or was
/// ended; Internal for an answer that cannot be decoded.
class CoordinationStore {
public:
  using GetCallback =
      std::function<void(absl::StatusOr<std::optional<StoreItem>>)>;
  using ListCallback = std::function<void(absl::StatusOr<StoreListing>)>;
  using ChangesCallback = std::function<void(absl::StatusOr<StoreChanges>)>;
  using CommitCallback = std::function<void(absl::StatusOr<StoreCommit>)>;
  using LeaseCallback = std::function<void(absl::StatusOr<int64_t>)>;
  using DoneCallback = std::function<void(absl::Status)>;

  virtual ~CoordinationStore() = default;

  /// Reads one item; nullopt if the key does not exist.
  virtual void get(const std::string &Key, GetCallback Done) = 0;

  /// Reads all items whose key starts with \p Prefix, one page after another.
  virtual void list(const std::string &Prefix, ListCallback Done) = 0;

  /// Passes the changes after revision \p After of keys that start with
  /// \p Prefix to \p Done as soon as there is one, or an empty list once
  /// \p Wait has passed.
  virtual void awaitChanges(const std::string &Prefix, int64_t After,
                            absl::Duration Wait, ChangesCallback Done) = 0;

  /// Applies \p Transaction if all its conditions hold.
  virtual void commit(StoreTransaction Transaction, CommitCallback Done) = 0;

  /// Creates a lease and passes its id to \p Done.
  virtual void grantLease(absl::Duration TimeToLive, LeaseCallback Done) = 0;
  /// Renews a lease for its time to live.
  virtual void renewLease(int64_t Lease, DoneCallback Done) = 0;
  /// Ends a lease before it expires and deletes the keys attached to it.
  virtual void endLease(int64_t Lease, DoneCallback Done) = 0;
};

} // namespace vanillayard

#endif
