#ifndef VANILLAYARD_POLICY_POLICYNAMES_H
#define VANILLAYARD_POLICY_POLICYNAMES_H

#include "base/EnumNames.h"

namespace vanillayard {

/// Order in which the admission queue serves requests.
enum class QueueOrder { WeightedFair, Fifo };
/// How the worker of a short request is chosen.
enum class WorkerChoice { PowerOfTwo, Random };
/// How the requests in flight on one worker are limited.
enum class ConcurrencyControl { Adaptive, Fixed };
/// How retries are limited.
enum class RetryControl { Budget, Unlimited };
/// Whether failing workers are ejected.
enum class HealthControl { Ejection, None };
/// How the data centre of a short request is chosen.
enum class DataCentreChoice { SpillOver, LocalOnly };

inline constexpr EnumNames<QueueOrder, 2>
    QueueOrderNames({{{QueueOrder::WeightedFair, "weighted_fair"},
                      {QueueOrder::Fifo, "fifo"}}});
inline constexpr EnumNames<WorkerChoice, 2>
    WorkerChoiceNames({{{WorkerChoice::PowerOfTwo, "power_of_two"},
                        {WorkerChoice::Random, "random"}}});
inline constexpr EnumNames<ConcurrencyControl, 2>
    ConcurrencyControlNames({{{ConcurrencyControl::Adaptive, "adaptive"},
                              {ConcurrencyControl::Fixed, "fixed"}}});
inline constexpr EnumNames<RetryControl, 2>
    RetryControlNames({{{RetryControl::Budget, "budget"},
                        {RetryControl::Unlimited, "unlimited"}}});
inline constexpr EnumNames<HealthControl, 2> HealthControlNames(
    {{{HealthControl::Ejection, "ejection"}, {HealthControl::None, "none"}}});
inline constexpr EnumNames<DataCentreChoice, 2>
    DataCentreChoiceNames({{{DataCentreChoice::SpillOver, "spill_over"},
                            {DataCentreChoice::LocalOnly, "local_only"}}});

} // namespace vanillayard

#endif
