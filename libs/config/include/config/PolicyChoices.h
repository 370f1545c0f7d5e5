#ifndef VANILLAYARD_CONFIG_POLICYCHOICES_H
#define VANILLAYARD_CONFIG_POLICYCHOICES_H

#include "base/EnumNames.h"

namespace vanillayard {

/// Order of waiting short requests. Fifo is the baseline.
enum class QueueChoice { WeightedFair, Fifo };
/// How a worker is chosen for a short request. Random is the baseline.
enum class WorkerSelectionChoice { PowerOfTwo, Random };
/// How jobs are placed. FirstFit is the baseline.
enum class PlacementChoice { Cells, FirstFit };
/// Whether retries are bounded. Unlimited is the baseline.
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
