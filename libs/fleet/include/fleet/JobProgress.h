#ifndef VANILLAYARD_FLEET_JOBPROGRESS_H
#define VANILLAYARD_FLEET_JOBPROGRESS_H

#include "fleet/BatchJob.h"
#include "fleet/BatchState.h"
#include "fleet/TaskProgress.h"

#include <cstddef>
#include <string>
#include <vector>

namespace vanillayard {

/// Stored progress of a job: its state and the progress of each task.
class JobProgress {
public:
  explicit JobProgress(const BatchJob &Job);

  BatchState State = BatchState::Queued;
  /// TaskProgress::PlacedOn is set for all tasks that may have runs. False for
  /// a record of a build that did not record placements.
  bool ArePlacementsRecorded = true;

  TaskProgress &task(int Occurrence, int Step, int Index) {
    return this->Tasks[this->position(Occurrence, Step, Index)];
  }
  const TaskProgress &task(int Occurrence, int Step, int Index) const {
    return this->Tasks[this->position(Occurrence, Step, Index)];
  }
  bool contains(int Occurrence, int Step, int Index) const;

  const std::vector<TaskProgress> &tasks() const { return this->Tasks; }
  std::vector<TaskProgress> &tasks() { return this->Tasks; }

private:
  size_t position(int Occurrence, int Step, int Index) const {
    return static_cast<size_t>(Occurrence) * this->TasksPerOccurrence +
           this->StepOffsets[static_cast<size_t>(Step)] +
           static_cast<size_t>(Index);
  }

  /// For each step, the position of its first task within an occurrence. The
  /// last element is the number of tasks per occurrence.
  std::vector<size_t> StepOffsets;
  size_t TasksPerOccurrence = 0;
  std::vector<TaskProgress> Tasks;
};

} // namespace vanillayard

#endif
