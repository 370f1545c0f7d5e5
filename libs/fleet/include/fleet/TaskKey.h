#ifndef VANILLAYARD_FLEET_TASKKEY_H
#define VANILLAYARD_FLEET_TASKKEY_H

#include "base/Ids.h"

#include <ostream>
#include <string>

namespace vanillayard {

/// Identifies one task of a step in one occurrence of a job.
struct TaskKey {
  JobId Job;
  /// Number of the occurrence of a recurring job, from 0; 0 for any other job.
  int Occurrence = 0;
  /// Position of the step in the job, from 0.
  int Step = 0;
  /// Position of the task in the step, from 0.
  int Index = 0;

  friend bool operator==(const TaskKey &, const TaskKey &) = default;
  friend auto operator<=>(const TaskKey &, const TaskKey &) = default;

  template <typename H> friend H AbslHashValue(H State, const TaskKey &Key) {
    return H::combine(std::move(State), Key.Job, Key.Occurrence, Key.Step,
                      Key.Index);
  }
  friend std::ostream &operator<<(std::ostream &Out, const TaskKey &Key) {
    return Out << Key.Job << "." << Key.Occurrence << "." << Key.Step << "."
               << Key.Index;
  }
};

} // namespace vanillayard

#endif
