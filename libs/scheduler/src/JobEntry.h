#ifndef VANILLAYARD_SCHEDULER_JOBENTRY_H
#define VANILLAYARD_SCHEDULER_JOBENTRY_H

#include "fleet/BatchJob.h"
#include "fleet/JobProgress.h"
#include "fleet/TaskKey.h"
#include "prediction/WorkEstimate.h"
#include "prediction/WorkerSpeeds.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace vanillayard {

/// Progress of one step in one occurrence.
struct StepEntry {
  int DoneTasks = 0;
  /// Tasks that have a run now.
  int ActiveTasks = 0;
  /// When all steps before it were done; InfiniteFuture until then.
  absl::Time ReadySince = absl::InfiniteFuture();
};

/// Expected work of the tasks of one step, in all occurrences.
struct StepWork {
  WorkerSpeeds::StepId Id = {};
  /// By the model of run times, or by what runs of the step have shown.
  WorkEstimate Work;
  absl::Time RefreshedAt = absl::InfinitePast();
  /// A run of the step has shown its rate.
  bool IsObserved = false;
};

/// State of one job in the scheduler.
struct JobEntry {
  explicit JobEntry(BatchJob Accepted, JobProgress Known)
      : Job(std::move(Accepted)), Progress(std::move(Known)) {}

  BatchJob Job;
  JobProgress Progress;
  /// By occurrence, then by step.
  std::vector<StepEntry> Steps;
  int DoneSteps = 0;
  /// An earlier leader may have started tasks of it that no worker has
  /// reported yet.
  bool AwaitsReports = false;
  /// The progress differs from the record in the store.
  bool IsDirty = false;
  /// Incremented with each new placement.
  int64_t PlacementVersion = 0;
  /// Highest version of the placements that is known to be in the store.
  int64_t RecordedPlacements = 0;
  /// The final state has been written to the store.
  bool IsEndRecorded = false;
  /// When the scheduler moved the job to its final state; InfiniteFuture until
  /// then.
  absl::Time FinishedAt = absl::InfiniteFuture();
  /// Wait that was last logged for the job.
  absl::Duration ReportedWait;
  /// Worker on which the last reported failure of a task happened.
  absl::flat_hash_map<TaskKey, WorkerId> FailedOn;
  /// By step.
  std::vector<StepWork> Works;
  /// Expected time from the start of each step to the end of the job, without
  /// queueing, at the mean speed of the workers.
  std::vector<absl::Duration> RemainingPaths;

  StepEntry &step(int Occurrence, int Step) {
    return this
        ->Steps[static_cast<size_t>(Occurrence) * this->Job.Steps.size() +
                static_cast<size_t>(Step)];
  }
  /// Tasks of the step that are neither done nor have a run.
  int waitingTasks(int Occurrence, int Step) {
    const StepEntry &State = this->step(Occurrence, Step);
    return this->spec(Step).TaskCount - State.DoneTasks - State.ActiveTasks;
  }
  bool hasRuns() const {
    return std::any_of(
        this->Steps.begin(), this->Steps.end(),
        [](const StepEntry &Step) { return Step.ActiveTasks > 0; });
  }
  bool hasCompletedTasks() const {
    return std::any_of(
        this->Steps.begin(), this->Steps.end(),
        [](const StepEntry &Step) { return Step.DoneTasks > 0; });
  }
  const BatchStep &spec(int Step) const {
    return this->Job.Steps[static_cast<size_t>(Step)];
  }
  /// Progress entry that holds the failed runs and the checkpoint of a task.
  /// All members of a gang share that of member 0.
  TaskProgress &attemptProgress(const TaskKey &Task) {
    int Index = this->spec(Task.Step).IsGang ? 0 : Task.Index;
    return this->Progress.task(Task.Occurrence, Task.Step, Index);
  }
};

} // namespace vanillayard

#endif
