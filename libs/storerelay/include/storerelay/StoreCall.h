#ifndef VANILLAYARD_STORERELAY_STORECALL_H
#define VANILLAYARD_STORERELAY_STORECALL_H

#include "store/StoreTransaction.h"
#include "storerelay/StoreOperation.h"

#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace vanillayard {

/// A store call that one host asks another host to make.
struct StoreCall {
  /// Chosen by the requesting host and copied into the reply.
  int64_t Id = 0;
  StoreOperation Operation = StoreOperation::Get;
  /// Key of Get, prefix of List and AwaitChanges.
  std::string Key;
  /// AwaitChanges reports changes after this revision.
  int64_t Revision = 0;
  /// Wait of AwaitChanges, time to live of GrantLease. Sent in whole
  /// milliseconds.
  absl::Duration Duration = absl::ZeroDuration();
  /// Id of the lease that a RenewLease or EndLease operation refers to.
  int64_t Lease = 0;
  /// Transaction of Commit.
  StoreTransaction Transaction;
};

} // namespace vanillayard

#endif
