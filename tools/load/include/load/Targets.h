#ifndef VANILLAYARD_LOAD_TARGETS_H
#define VANILLAYARD_LOAD_TARGETS_H

namespace vanillayard::targets {

// From section 1.5 of the design page. They are requirements: a run that
// misses one is reported as such, and the constants stay.

/// p99 of the most urgent kind in a flood of the least urgent one, relative
/// to its p99 without other load.
inline constexpr double FloodFactor = 10;
inline constexpr double MaxUrgentP99Ratio = 1.5;

/// Share of its entitlement that each other kind keeps in a flood of the most
/// urgent one.
inline constexpr double MinShareKept = 0.95;

/// p99 of small callers beside one that asks LargeCallerFactor times more,
/// relative to their p99 without it, and Jain's index among them.
inline constexpr double LargeCallerFactor = 100;
inline constexpr double MaxSmallCallerP99Ratio = 1.5;
inline constexpr double MinJainIndex = 0.98;

/// Largest gang that can start, relative to perfect packing.
inline constexpr double MinLargestGangRatio = 0.9;

/// Completion time of gangs relative to the baseline: better.
inline constexpr double MaxGangCompletionRatio = 1;

/// "Its first few requests": a host excludes a worker after three failures in
/// a row, and each host of the data centre may have to see them by itself.
inline constexpr int MaxLostPerHost = 3;

/// Share of requests answered in a phase that offers less than capacity.
/// Below it a comparison with that phase is void.
inline constexpr double MinAnsweredUnloaded = 0.99;

/// Requests that a planned restart of every host in turn may break.
inline constexpr int MaxBrokenByRestart = 0;

} // namespace vanillayard::targets

#endif
