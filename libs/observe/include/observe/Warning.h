#ifndef VANILLAYARD_OBSERVE_WARNING_H
#define VANILLAYARD_OBSERVE_WARNING_H

#include "observe/WarningCondition.h"

#include <compare>
#include <string>

namespace vanillayard {

/// Identifies a warning on all hosts.
struct WarningKey {
  WarningCondition Condition = WarningCondition::StoreUnavailable;
  /// Object that the warning is about, such as a worker's id; may be empty.
  std::string Subject;

  friend auto operator<=>(const WarningKey &, const WarningKey &) = default;
};

/// A warning that was issued to the operators.
struct Warning {
  WarningKey Key;
  std::string Detail;
  /// Time since which the condition has held.
  absl::Time Since;
  absl::Time IssuedAt;
};

} // namespace vanillayard

#endif
