#ifndef VANILLAYARD_STORERELAY_STOREREPLY_H
#define VANILLAYARD_STORERELAY_STOREREPLY_H

#include "store/StoreChange.h"

#include "absl/status/status.h"

#include <cstdint>
#include <vector>

namespace vanillayard {

/// Reply to a StoreCall. The operation determines which members are set.
struct StoreReply {
  /// Id of the call.
  int64_t Id = 0;
  /// Carries an ErrorKind if the call failed; then only Id is set besides it.
  absl::Status Status;
  /// Commit: the conditions held, and the transaction was applied.
  bool IsApplied = false;
  /// AwaitChanges: the store no longer has all requested changes.
  bool IsHistoryLost = false;
  /// Revision of List, AwaitChanges and Commit.
  int64_t Revision = 0;
  /// GrantLease: the new lease.
  int64_t Lease = 0;
  /// Get: the item, if the key exists.
  /// List: all items found.
  /// AwaitChanges: the changes.
  /// Commit: the items of StoreCommit::Found.
  std::vector<StoreChange> Items;
};

} // namespace vanillayard

#endif
