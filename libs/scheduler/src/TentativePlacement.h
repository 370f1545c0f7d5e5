#ifndef VANILLAYARD_SCHEDULER_TENTATIVEPLACEMENT_H
#define VANILLAYARD_SCHEDULER_TENTATIVEPLACEMENT_H

#include "RunRecord.h"
#include "WorkerState.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <vector>

namespace vanillayard {

/// Placements and evictions that the search considers, on top of the committed
/// state of the fleet and without changing it.
class TentativePlacement {
public:
  /// Resources of \p Worker that are free after the placements and evictions.
  Resources free(const WorkerState &Worker) const;
  /// Number of tasks placed on \p Worker.
  int placedOn(const WorkerState &Worker) const;
  bool isEvicted(const RunRecord &Run) const {
    return this->Evicted.contains(&Run);
  }

  void place(WorkerState &Worker, const Resources &Need);
  /// Does nothing if the run is already evicted.
  /// \param RunLoss cost of the eviction: unsaved work in core-seconds, plus a
  ///        penalty for an urgent run.
  void evict(RunRecord &Run, double RunLoss);

  /// Worker of each placed task, in the order of the calls of place().
  const std::vector<WorkerState *> &placements() const {
    return this->Placements;
  }
  const std::vector<RunRecord *> &victims() const { return this->Victims; }
  /// Total cost of the evictions: unsaved work in core-seconds, plus penalties.
  double loss() const { return this->Loss; }

private:
  struct Change {
    /// Resources of the placed tasks minus those of the evicted runs.
    Resources Taken;
    int Tasks = 0;
  };

  absl::flat_hash_map<const WorkerState *, Change> Changes;
  absl::flat_hash_set<const RunRecord *> Evicted;
  std::vector<WorkerState *> Placements;
  std::vector<RunRecord *> Victims;
  double Loss = 0;
};

} // namespace vanillayard

#endif
