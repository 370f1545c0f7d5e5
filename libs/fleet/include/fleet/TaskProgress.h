#ifndef VANILLAYARD_FLEET_TASKPROGRESS_H
#define VANILLAYARD_FLEET_TASKPROGRESS_H

#include <cstdint>
#include <string>
#include <vector>

namespace vanillayard {

/// What is kept of a task across a change of the leader.
struct TaskProgress {
  bool IsDone = false;
  /// Numbers of the runs that ended as failed; for a gang, kept in its first
  /// task. An end may be reported twice, and the ends of several workers in
  /// any order, so that neither a count nor the newest number is enough.
  std::vector<int64_t> FailedRuns;
  /// Newest checkpoint; empty if there is none.
  std::string Checkpoint;

  friend bool operator==(const TaskProgress &, const TaskProgress &) = default;
};

} // namespace vanillayard

#endif
