#include "fleet/BatchJob.h"

#include "base/ErrorKind.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace vanillayard {

absl::Time BatchJob::dueTime(int Occurrence) const {
  if (this->Schedule.Count == 0)
    return absl::InfinitePast();
  return this->Schedule.FirstDue + Occurrence * this->Schedule.Interval;
}

absl::Duration BatchJob::criticalPathDuration() const {
  std::vector<absl::Duration> Ends(this->Steps.size(), absl::ZeroDuration());
  absl::Duration Longest = absl::ZeroDuration();
  for (size_t I = 0; I < this->Steps.size(); ++I) {
    absl::Duration Begin = absl::ZeroDuration();
    for (int Earlier : this->Steps[I].DependsOn)
      Begin = std::max(Begin, Ends[static_cast<size_t>(Earlier)]);
    Ends[I] = Begin + this->Steps[I].Estimate;
    Longest = std::max(Longest, Ends[I]);
  }
  return Longest;
}

int64_t BatchJob::maxAcceleratorsPerStep() const {
  int64_t Widest = 0;
  for (const BatchStep &Step : this->Steps)
    Widest = std::max(Widest, Step.PerTask.Accelerators * Step.TaskCount);
  return Widest;
}

static absl::Status invalidRequest(const std::string &Detail) {
  return makeError(ErrorKind::InvalidRequest, Detail);
}

static absl::Status validateStep(const BatchStep &Step, size_t Position) {
  std::string Name = absl::StrCat("step ", Position);
  if (Step.TaskCount < 1 || Step.TaskCount > BatchJobLimits::MaxTasksPerStep)
    return invalidRequest(absl::StrCat(Name,
                                       ": the number of tasks is not in 1..",
                                       BatchJobLimits::MaxTasksPerStep));
  if (!Step.PerTask.isInRange())
    return invalidRequest(Name + ": a resource is out of range");
  if (Step.Estimate < absl::ZeroDuration() ||
      Step.Estimate > BatchJobLimits::MaxEstimate || Step.MaxPerWorker < 0)
    return invalidRequest(
        Name + ": the estimate or the limit per worker is out of range");
  if (Step.IsLongRunning || Step.UsesIdleCapacity)
    return makeError(ErrorKind::Unsupported,
                     Name + ": long-running tasks and tasks on idle capacity "
                            "are not supported");
  for (int Earlier : Step.DependsOn)
    if (Earlier < 0 || static_cast<size_t>(Earlier) >= Position)
      return invalidRequest(Name +
                            ": depends on a step that does not precede it");
  return absl::OkStatus();
}

absl::Status validate(const BatchJob &Job) {
  if (Job.Id.empty())
    return invalidRequest("the job has no id");
  if (Job.Specification.size() > BatchJobLimits::MaxSpecificationBytes)
    return invalidRequest("the specification is too long");
  if (Job.Steps.empty() || Job.Steps.size() > BatchJobLimits::MaxSteps)
    return invalidRequest(absl::StrCat("the number of steps is not in 1..",
                                       BatchJobLimits::MaxSteps));
  if (Job.Schedule.Count < 0 ||
      Job.Schedule.Count > BatchJobLimits::MaxOccurrences ||
      Job.Schedule.Interval < absl::ZeroDuration())
    return invalidRequest(
        "the count or interval of the schedule is out of range");
  int64_t Tasks = 0;
  for (size_t I = 0; I < Job.Steps.size(); ++I) {
    if (absl::Status Status = validateStep(Job.Steps[I], I); !Status.ok())
      return Status;
    Tasks += Job.Steps[I].TaskCount;
  }
  if (Tasks * Job.occurrenceCount() > BatchJobLimits::MaxTasks)
    return invalidRequest(absl::StrCat("the job has more than ",
                                       BatchJobLimits::MaxTasks,
                                       " tasks in all its occurrences"));
  return absl::OkStatus();
}

} // namespace vanillayard
