#ifndef VANILLAYARD_OBSERVE_WARNINGCONDITION_H
#define VANILLAYARD_OBSERVE_WARNINGCONDITION_H

#include "absl/time/time.h"

#include <optional>
#include <span>
#include <string_view>

namespace vanillayard {

/// Every condition that a person may have to act on. The list is closed;
/// warningTable() describes each.
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

/// One row of the table of conditions.
struct WarningRule {
  WarningCondition Condition;
  std::string_view Name;
  /// How long the condition must hold before a person is told.
  absl::Duration Hold;
  /// What the person has to do.
  std::string_view Action;
  /// Conditions that explain this one: while one of them holds, no warning is
  /// given for this one.
  std::span<const WarningCondition> Causes;
};

std::span<const WarningRule> warningTable();
const WarningRule &warningRuleFor(WarningCondition Condition);
std::optional<WarningCondition> parseWarningCondition(std::string_view Name);

} // namespace vanillayard

#endif
