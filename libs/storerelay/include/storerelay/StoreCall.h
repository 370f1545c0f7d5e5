#ifndef VANILLAYARD_STORERELAY_STORECALL_H
#define VANILLAYARD_STORERELAY_STORECALL_H

#include "store/StoreTransaction.h"
#include "storerelay/StoreOperation.h"

#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace vanillayard {

/// One call to the store that another host is asked to make.
struct StoreCall {
  /// Chosen by the asking host; the reply repeats it.
  int64_t Id = 0;
  StoreOperation Operation = StoreOperation::Get;
  /// Key of Get, prefix of List and AwaitChanges.
  std::string Key;
  /// Where AwaitChanges begins.
  int64_t Revision = 0;
  /// Wait of AwaitChanges, time to live of GrantLease.
  absl::Duration Time = absl::ZeroDuration();
  /// Lease of KeepLease and EndLease.
  int64_t Lease = 0;
  /// Changes of Commit.
  StoreTransaction Transaction;
};

} // namespace vanillayard

#endif
