#ifndef VANILLAYARD_STORERELAY_STOREOPERATION_H
#define VANILLAYARD_STORERELAY_STOREOPERATION_H

#include "base/EnumNames.h"

namespace vanillayard {

/// Operations of CoordinationStore that hosts relay for each other.
enum class StoreOperation {
  Get,
  List,
  AwaitChanges,
  Commit,
  GrantLease,
  RenewLease,
  EndLease,
};

inline constexpr EnumNames<StoreOperation, 7>
    StoreOperationNames({{{StoreOperation::Get, "get"},
                          {StoreOperation::List, "list"},
                          {StoreOperation::AwaitChanges, "await_changes"},
                          {StoreOperation::Commit, "commit"},
                          {StoreOperation::GrantLease, "grant_lease"},
                          {StoreOperation::RenewLease, "keep_lease"},
                          {StoreOperation::EndLease, "end_lease"}}});

} // namespace vanillayard

#endif
