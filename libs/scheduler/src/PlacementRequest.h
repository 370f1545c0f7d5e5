#ifndef VANILLAYARD_SCHEDULER_PLACEMENTREQUEST_H
#define VANILLAYARD_SCHEDULER_PLACEMENTREQUEST_H

#include "JobEntry.h"

#include "absl/time/time.h"

namespace vanillayard {

/// Request to place the waiting tasks of one step of a job.
struct PlacementRequest {
  JobEntry *Entry = nullptr;
  int Occurrence = 0;
  int Step = 0;
  absl::Time Now;
  /// Runs of less urgent jobs may be stopped to free resources.
  bool MayPreempt = false;
  /// The account is within its guarantee, so urgent runs of accounts that
  /// exceed theirs may be stopped as well.
  bool IsGuaranteed = false;

  /// The job has no run, and the step has waited as long as it may for a better
  /// placement: any worker that can run it will do.
  bool IsOverdue = false;

  /// Slow workers are the last choice.
  bool AvoidsSlowWorkers = false;
  /// Expected run time of a task on a typical worker.
  absl::Duration ExpectedTime = absl::ZeroDuration();

  const BatchStep &spec() const { return this->Entry->spec(this->Step); }
  TaskKey key(int Index) const {
    return {this->Entry->Job.Id, this->Occurrence, this->Step, Index};
  }
  /// Time since the step became ready.
  absl::Duration waited() const {
    return this->Now -
           this->Entry->step(this->Occurrence, this->Step).ReadySince;
  }
};

} // namespace vanillayard

#endif
