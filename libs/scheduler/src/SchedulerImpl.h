#ifndef VANILLAYARD_SCHEDULER_SCHEDULERIMPL_H
#define VANILLAYARD_SCHEDULER_SCHEDULERIMPL_H

#include "ArrivalRate.h"
#include "FailureLedger.h"
#include "FleetState.h"
#include "JobTable.h"
#include "PlacementSearch.h"
#include "prediction/RunTimeModel.h"
#include "prediction/WorkerSpeeds.h"
#include "scheduler/Scheduler.h"

#include "absl/container/flat_hash_map.h"

#include <map>
#include <optional>
#include <vector>

namespace vanillayard {

class Scheduler::Impl {
public:
  Impl(const SchedulerSettings &Settings, int64_t FirstRun, Log &Events)
      : Settings(Settings), LastRunNumber(FirstRun), Events(Events),
        Search(this->Fleet, this->Jobs, this->Settings) {}

  // SchedulerReports.cpp: applies reports and answers to the state.
  void endRun(RunRecord &Run);
  void removeJobIfFinished(const JobEntry &Entry);
  void stopRun(RunRecord &Run);
  void stopRunsOfJob(JobEntry &Entry);
  void stopGangOf(const RunRecord &Run);
  void adoptRun(JobEntry &Entry, const TaskKey &Task, int64_t Run,
                WorkerState &Worker, absl::Time AnsweredAt, absl::Time Now);
  void stopPartOfGang(JobEntry &Entry, int Occurrence, int Step);
  void restoreRuns(JobEntry &Entry, absl::Time Now);
  void applyEnd(WorkerState &Worker, const RunEnd &End, absl::Time Now);
  void applyFailure(JobEntry &Entry, WorkerState &Worker, const RunEnd &End,
                    absl::Time StartedAt, absl::Time Now);
  void applyRunningTask(WorkerState &Worker, const RunningTask &Reported,
                        absl::Duration WorkerClock, absl::Time AskedAt,
                        absl::Time Now);
  void endUnlistedRuns(WorkerState &Worker, const WorkerReport &Report,
                       absl::Time AskedAt);
  void logJob(const JobEntry &Entry, std::string_view Message,
              std::string_view Reason);

  // SchedulerRunTimes.cpp: learns from runs, and predicts.
  TaskFeatures featuresOf(const JobEntry &Entry, int Step) const;
  void refreshWork(JobEntry &Entry, absl::Time Now);
  void refreshSpeeds(absl::Time Now);
  void observeProgress(JobEntry &Entry, RunRecord &Run, double Completed,
                       absl::Duration WorkerClock, absl::Time Now);
  void observeDone(JobEntry &Entry, const RunRecord &Run, absl::Time Now);
  void observeRate(JobEntry &Entry, const RunRecord &Run, double Rate,
                   absl::Time Now);
  void learnWork(JobEntry &Entry, int Step, double LogWork);
  double slowestLogSpeed(const JobEntry &Entry, const RunRecord &Run);

  // SchedulerPlan.cpp: places tasks and returns orders.
  struct ReadyStep;
  void limitFaultyWorkers(absl::Time Now);
  std::vector<ReadyStep> readySteps(absl::Time Now);
  bool leavesHeadroom(const PlacementRequest &Request, int Tasks) const;
  void countAwaitingReports(JobEntry &Entry, absl::Time Now);
  void placeReadyStep(const ReadyStep &Ready, absl::Time Now);
  std::optional<WaitReason> placeStep(PlacementRequest Request);
  void reportWait(const PlacementRequest &Request, WaitReason Reason);
  void reserve(const PlacementRequest &Request, const std::vector<int> &Indexes,
               const TentativePlacement &Placement);
  void launchReservedGroups(absl::Time Now, Orders &Round);
  bool isRecorded(const RunRecord &Run);
  bool hasCapacityNow(const std::vector<RunRecord *> &Group) const;
  void launchGroup(const std::vector<RunRecord *> &Group, absl::Time Now,
                   Orders &Round);
  void collectStops(absl::Time Now, Orders &Round);

  /// Tasks that were placed together and start together under one run number.
  struct ReservedGroup {
    std::vector<TaskKey> Tasks;
    int64_t Run = 0;
    absl::Time ReservedAt;
  };

  SchedulerSettings Settings;
  int64_t LastRunNumber;
  Log &Events;
  FleetState Fleet;
  JobTable Jobs;
  FailureLedger Failures;
  RunTimeModel RunTimes;
  WorkerSpeeds Speeds;
  absl::Time SpeedsRefreshedAt = absl::InfinitePast();
  uint64_t LastStepId = 0;
  /// Mean logarithm of the workers' speeds; set by each plan.
  double TypicalLogSpeed = 0;
  PlacementSearch Search;
  std::vector<ReservedGroup> Reserved;
  /// Rate at which urgent jobs request accelerators, by worker pool.
  absl::flat_hash_map<std::string, ArrivalRate> UrgentArrivals;
  /// Stop orders for reported runs that belong to no known job or task, or that
  /// another run of the task has replaced.
  std::vector<StopOrder> OrphanStops;
  /// Highest applied sequence number of an end, by worker.
  absl::flat_hash_map<WorkerId, int64_t> LastEndSequences;
  /// All runs of earlier leaders are known; set by finishRecovery().
  bool IsRecovered = false;
  bool HasWaitingWork = false;
  /// Ready tasks that the last plan() left without a run.
  std::map<WaitReason, int64_t> WaitingTasks;
};

} // namespace vanillayard

#endif
