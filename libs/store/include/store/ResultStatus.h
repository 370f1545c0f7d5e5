#ifndef VANILLAYARD_STORE_RESULTSTATUS_H
#define VANILLAYARD_STORE_RESULTSTATUS_H

#include "absl/status/statusor.h"

namespace vanillayard {

/// Returns the status of a store call's result, which is a Status or a
/// StatusOr.
inline const absl::Status &resultStatus(const absl::Status &Result) {
  return Result;
}

template <typename T>
const absl::Status &resultStatus(const absl::StatusOr<T> &Result) {
  return Result.status();
}

} // namespace vanillayard

#endif
