#ifndef VANILLAYARD_SCHEDULER_FLEETSTATE_H
#define VANILLAYARD_SCHEDULER_FLEETSTATE_H

#include "RunRecord.h"
#include "WorkerState.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <map>
#include <memory>
#include <vector>

namespace vanillayard {

/// The registered workers and the runs placed on them. A task has at most one
/// run.
class FleetState {
public:
  /// Data centres whose workers get no new tasks.
  void setEvacuated(absl::flat_hash_set<DataCentreId> DataCentres);
  const absl::flat_hash_set<DataCentreId> &evacuated() const {
    return this->Evacuated;
  }

  /// Adds a worker, or replaces the registration of a known one.
  WorkerState &upsert(const WorkerRegistration &Registration);
  WorkerState *find(const WorkerId &Id);
  /// Removes a worker. It must hold no runs.
  void remove(const WorkerId &Id);

  /// All workers, in the order in which they were added.
  const std::vector<WorkerState *> &workers() const { return this->WorkerList; }

  RunRecord *runOf(const TaskKey &Task);
  /// Adds a run and commits its resources on the worker. They also count as
  /// occupied unless the run is only reserved.
  RunRecord &addRun(RunRecord Record);
  /// Moves a reserved run to Starting; its resources count as occupied.
  void beginStart(RunRecord &Run, absl::Time Now);
  /// Removes a run and releases its resources.
  void removeRun(RunRecord &Run);

  /// Number of runs of the same step and occurrence as \p Task on \p Worker.
  static int countRunsOfStep(const WorkerState &Worker, const TaskKey &Task);

private:
  absl::flat_hash_set<DataCentreId> Evacuated;
  std::map<WorkerId, std::unique_ptr<WorkerState>> Workers;
  std::vector<WorkerState *> WorkerList;
  absl::flat_hash_map<TaskKey, std::unique_ptr<RunRecord>> Runs;
};

} // namespace vanillayard

#endif
