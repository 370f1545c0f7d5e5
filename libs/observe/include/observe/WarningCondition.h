#ifndef VANILLAYARD_OBSERVE_WARNINGCONDITION_H
#define VANILLAYARD_OBSERVE_WARNINGCONDITION_H

#include "absl/time/time.h"

#include <optional>
#include <span>
#include <string_view>

namespace vanillayard {

/// Complete list of the conditions that an operator may have to act on.
/// warningTable() describes each of them.
enum class WarningCondition {
  StoreUnavailable,
  HostListStale,
  NoConfiguration,
  ConfigurationDiverged,
  DataCentreUnreachable,
  HostMissing,
  ClockSkew,
  ManyWorkersExcluded,
  WorkerFailing,
  WorkerUnreachable,
  GuaranteeUnmet,
  GangWaitExceeded,
  OutcomeUnresolved,
};

/// One row of warningTable().
struct WarningRule {
  WarningCondition Condition;
  std::string_view Name;
  /// How long the condition must hold before a warning is issued.
  absl::Duration HoldTime;
  /// What the operator has to do.
  std::string_view Action;
  /// Conditions that explain this one: while one of them holds, no warning is
  /// issued for this one.
  std::span<const WarningCondition> Causes;
};

/// One rule for each condition, in the order of the enum.
std::span<const WarningRule> warningTable();
const WarningRule &warningRuleFor(WarningCondition Condition);
std::optional<WarningCondition> parseWarningCondition(std::string_view Name);

} // namespace vanillayard

#endif
