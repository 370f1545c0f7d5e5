#ifndef VANILLAYARD_CONFIG_POLICYCHOICES_H
#define VANILLAYARD_CONFIG_POLICYCHOICES_H

#include "base/EnumNames.h"

namespace vanillayard {

// Each policy has a simple alternative, the baseline for measurements.

/// Queueing policy for short requests. Fifo is the baseline.
enum class QueueChoice { WeightedFair, Fifo };
/// Policy that selects the worker for a short request. Random is the baseline.
enum class WorkerSelectionChoice { PowerOfTwo, Random };
/// Placement policy for jobs. FirstFit is the baseline.
enum class PlacementChoice { Cells, FirstFit };
/// Limit on retries of short requests. Unlimited is the baseline.
enum class RetryChoice { Budget, Unlimited };

inline constexpr EnumNames<QueueChoice, 2>
    QueueChoiceNames({{{QueueChoice::WeightedFair, "weighted_fair"},
                       {QueueChoice::Fifo, "fifo"}}});
inline constexpr EnumNames<WorkerSelectionChoice, 2> WorkerSelectionChoiceNames(
    {{{WorkerSelectionChoice::PowerOfTwo, "power_of_two"},
      {WorkerSelectionChoice::Random, "random"}}});
inline constexpr EnumNames<PlacementChoice, 2>
    PlacementChoiceNames({{{PlacementChoice::Cells, "cells"},
                           {PlacementChoice::FirstFit, "first_fit"}}});
inline constexpr EnumNames<RetryChoice, 2> RetryChoiceNames(
    {{{RetryChoice::Budget, "budget"}, {RetryChoice::Unlimited, "unlimited"}}});
} // namespace vanillayard

#endif
