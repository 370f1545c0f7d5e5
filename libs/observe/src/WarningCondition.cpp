#include "observe/WarningCondition.h"

#include <array>
#include <cassert>
#include <cstddef>

namespace vanillayard {

using Condition = WarningCondition;

static constexpr std::array StoreCause = {Condition::StoreUnavailable};
static constexpr std::array LinkCauses = {Condition::DataCentreUnreachable};
static constexpr std::array StoreOrLinkCauses = {
    Condition::StoreUnavailable, Condition::DataCentreUnreachable};
static constexpr std::array ExcludedCause = {Condition::ManyWorkersExcluded};
static constexpr std::array CapacityCauses = {Condition::ManyWorkersExcluded,
                                              Condition::GuaranteeUnmet};
static constexpr std::array OutcomeCauses = {Condition::StoreUnavailable,
                                             Condition::DataCentreUnreachable,
                                             Condition::WorkerUnreachable};

static std::array<WarningRule, 13> makeWarningTable() {
  // Hosts and workers are replaced many times a day, and regions lose their
  // network connection for minutes. The hold times are longer than such events
  // usually last.
  return {{
      {Condition::StoreUnavailable,
       "store_unavailable",
       absl::Minutes(10),
       "Restore the platform's key-value service.",
       {}},
      {Condition::HostListStale, "host_list_stale", absl::Minutes(30),
       "Restore the platform's host list.", StoreCause},
      {Condition::NoConfiguration, "no_configuration", absl::Minutes(2),
       "Apply a configuration with the command line tool.", StoreCause},
      {Condition::ConfigurationDiverged, "configuration_diverged",
       absl::Minutes(2),
       "Compare the generations of the hosts and replace the host behind.",
       StoreOrLinkCauses},
      {Condition::DataCentreUnreachable,
       "data_centre_unreachable",
       absl::Minutes(15),
       "Restore the network to the data centre.",
       {}},
      {Condition::HostMissing, "host_missing", absl::Minutes(15),
       "Replace the host or remove it from the platform's list.", LinkCauses},
      {Condition::ClockSkew,
       "clock_skew",
       absl::Minutes(5),
       "Correct the clock of the host.",
       {}},
      {Condition::ManyWorkersExcluded, "many_workers_excluded",
       absl::Minutes(10),
       "Find the common fault of the excluded workers: rack, switch, image.",
       LinkCauses},
      {Condition::WorkerFailing, "worker_failing", absl::Minutes(30),
       "Repair or drain the worker.", ExcludedCause},
      {Condition::WorkerUnreachable, "worker_unreachable", absl::Minutes(30),
       "Repair the worker or remove it from the platform's list.",
       ExcludedCause},
      {Condition::GuaranteeUnmet, "guarantee_unmet", absl::Minutes(10),
       "Add workers to the data centre or reduce the guarantees.",
       ExcludedCause},
      {Condition::GangWaitExceeded, "gang_wait_exceeded", absl::Minutes(15),
       "Add capacity, or shrink or cancel the waiting job.", CapacityCauses},
      {Condition::OutcomeUnresolved, "outcome_unresolved", absl::Minutes(30),
       "Find out on the named worker whether the work ran, then resolve it.",
       OutcomeCauses},
  }};
}

std::span<const WarningRule> warningTable() {
  static const std::array<WarningRule, 13> Table = makeWarningTable();
  return Table;
}

const WarningRule &warningRuleFor(WarningCondition Condition) {
  const WarningRule &Rule = warningTable()[static_cast<size_t>(Condition)];
  assert(Rule.Condition == Condition &&
         "warning rules must be in the order of the enum");
  return Rule;
}

std::optional<WarningCondition> parseWarningCondition(std::string_view Name) {
  for (const WarningRule &Rule : warningTable())
    if (Rule.Name == Name)
      return Rule.Condition;
  return std::nullopt;
}

} // namespace vanillayard
