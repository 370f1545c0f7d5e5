#ifndef VANILLAYARD_LOAD_TARGETS_H
#define VANILLAYARD_LOAD_TARGETS_H

namespace vanillayard::targets {

// Targets of docs/design.md, section 1.5. They are requirements: a run that
// misses one reports the miss; do not adapt the constants to the results.

/// p99 of the most urgent kind in a flood of the least urgent one, relative
/// to its p99 without other load.
inline constexpr double FloodFactor = 10;
inline constexpr double MaxUrgentP99Ratio = 1.5;

/// Share of its entitlement that each other kind keeps in a flood of the most
/// urgent kind, measured as its requests that succeed, relative to those that
/// succeed without the flood.
inline constexpr double MinShareKept = 0.95;

/// p99 of small callers while another caller sends LargeCallerFactor times as
/// many requests as each of them, relative to their p99 without it, and Jain's
/// fairness index among the small callers.
inline constexpr double LargeCallerFactor = 100;
inline constexpr double MaxSmallCallerP99Ratio = 1.5;
inline constexpr double MinJainIndex = 0.98;

/// Largest gang that can start, relative to perfect packing.
inline constexpr double MinLargestGangRatio = 0.9;

/// Mean completion time of gangs relative to the baseline; must be below 1.
inline constexpr double MaxGangCompletionRatio = 1;

/// Requests that a failing worker may lose ("its first few requests"), for each
/// host: a host excludes a worker after three failures in a row, and each host
/// of the data centre may have to observe them itself.
inline constexpr int MaxLostPerHost = 3;

/// Share of requests answered in a phase whose load is below capacity. With a
/// lower share, a comparison with that phase is invalid.
inline constexpr double MinAnsweredUnloaded = 0.99;

/// Requests that a planned restart of every host in turn may interrupt.
inline constexpr int MaxInterruptedByRestart = 0;

} // namespace vanillayard::targets

#endif
