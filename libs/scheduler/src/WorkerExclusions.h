#ifndef VANILLAYARD_SCHEDULER_WORKEREXCLUSIONS_H
#define VANILLAYARD_SCHEDULER_WORKEREXCLUSIONS_H

namespace vanillayard {

/// Number of workers by the first reason that keeps one task of a step from
/// them.
struct WorkerExclusions {
  /// The worker belongs to another pool.
  int OtherPool = 0;
  /// It has not reported to this leader, has left, or owes an answer.
  int NotUsable = 0;
  int Draining = 0;
  /// Its data centre is being evacuated.
  int Evacuated = 0;
  /// It lacks the required label, or its capacity is too small.
  int Unsuitable = 0;
  /// Runs have failed on it.
  int Limited = 0;
  /// It has just refused a start.
  int Refused = 0;
  /// It has as many tasks of the step as it may have.
  int StepLimit = 0;
  /// Its free resources are too small.
  int Full = 0;
  /// No reason: the task fits.
  int Free = 0;
};

} // namespace vanillayard

#endif
