#ifndef VANILLAYARD_SCHEDULER_SCHEDULERIMPL_H
#define VANILLAYARD_SCHEDULER_SCHEDULERIMPL_H

#include "ArrivalRate.h"
#include "FleetBook.h"
#include "JobBook.h"
#include "PlacementSearch.h"
#include "scheduler/Scheduler.h"

#include "absl/container/flat_hash_map.h"

#include <vector>

namespace vanillayard {

class Scheduler::Impl {
public:
  Impl(const SchedulerTerms &Terms, int64_t FirstRun, Log &Events)
      : Terms(Terms), NextRun(FirstRun), Events(Events),
        Search(this->Fleet, this->Jobs, this->Terms) {}

  // SchedulerReports.cpp: what has happened.
  void endRun(RunRecord &Run);
  void forgetIfOver(const JobEntry &Entry);
  void stopRun(RunRecord &Run);
  void stopRunsOfJob(JobEntry &Entry);
  void stopGangOf(const RunRecord &Run);
  void applyEnd(WorkerState &Worker, const RunEnd &End, absl::Time Now);
  void applyFailure(JobEntry &Entry, WorkerState &Worker, const RunEnd &End,
                    absl::Time Now);
  void noteWorkerFailure(WorkerState &Worker, absl::Time Now);
  void takeRunning(WorkerState &Worker, const RunningTask &Task,
                   absl::Time AskedAt, absl::Time Now);
  void endUnlistedRuns(WorkerState &Worker, const WorkerReport &Report,
                       absl::Time AskedAt);
  void logJob(const JobEntry &Entry, std::string_view Message,
              std::string_view Reason);

  // SchedulerPlan.cpp: what to do.
  struct ReadyStep;
  std::vector<ReadyStep> readySteps(absl::Time Now);
  bool leavesHeadroom(const PlacementRequest &Request, int Tasks) const;
  void placeStep(const ReadyStep &Ready, absl::Time Now);
  void reserve(const PlacementRequest &Request, const std::vector<int> &Indexes,
               const RoomTrial &Trial);
  void launchGroups(absl::Time Now, Orders &Round);
  bool hasRoomNow(const std::vector<RunRecord *> &Group) const;
  void launch(const std::vector<RunRecord *> &Group, absl::Time Now,
              Orders &Round);
  void collectStops(absl::Time Now, Orders &Round);

  /// Tasks that were placed together and start together.
  struct ReservedGroup {
    std::vector<TaskKey> Tasks;
    int64_t Run = 0;
    absl::Time Since;
  };

  SchedulerTerms Terms;
  int64_t NextRun;
  Log &Events;
  FleetBook Fleet;
  JobBook Jobs;
  PlacementSearch Search;
  std::vector<ReservedGroup> Reserved;
  /// Accelerators that urgent jobs ask for, by service.
  absl::flat_hash_map<std::string, ArrivalRate> UrgentArrivals;
  /// Runs that no job accounts for, to be stopped where they were seen.
  std::vector<StopOrder> StrayStops;
  absl::flat_hash_map<WorkerId, int64_t> LastEnds;
  bool HasSettled = false;
  bool HasWaitingWork = false;
};

} // namespace vanillayard

#endif
