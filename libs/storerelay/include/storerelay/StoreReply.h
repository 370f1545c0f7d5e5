#ifndef VANILLAYARD_STORERELAY_STOREREPLY_H
#define VANILLAYARD_STORERELAY_STOREREPLY_H

#include "store/StoreChange.h"

#include "absl/status/status.h"

#include <cstdint>
#include <vector>

namespace vanillayard {

/// Answer to a StoreCall. Which members hold depends on the operation.
struct StoreReply {
  int64_t Id = 0;
  /// Carries an ErrorKind if the call failed; no other member holds then.
  absl::Status Status;
  /// Commit: the conditions held.
  bool IsApplied = false;
  /// AwaitChanges: the history that was asked for is gone.
  bool IsHistoryLost = false;
  /// Revision of List, AwaitChanges and Commit.
  int64_t Revision = 0;
  /// GrantLease: the new lease.
  int64_t Lease = 0;
  /// The item of Get, if there is one; items of List; changes of AwaitChanges;
  /// items that Commit found.
  std::vector<StoreChange> Items;
};

} // namespace vanillayard

#endif
