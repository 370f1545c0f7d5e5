#ifndef VANILLAYARD_JOBS_PLANNERTASK_H
#define VANILLAYARD_JOBS_PLANNERTASK_H

#include "base/Executor.h"
#include "config/Configuration.h"
#include "config/PolicyChoices.h"
#include "endpoint/WorkerClient.h"
#include "jobs/JobNotifier.h"
#include "jobs/JobRecord.h"
#include "jobs/PlannerReport.h"
#include "jobs/PlannerWorker.h"

#include "absl/status/statusor.h"

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace vanillayard {

class Store;

/// The planner of a data centre: queues jobs, places gangs, keeps their
/// leases, and records outcomes. Runs on every host; only the one that is made
/// planner acts. Two active planners at a time do no harm: the workers' leases
/// and the records decide.
///
/// \code
///   auto Planner = PlannerTask::Builder(Exec, Store, Workers)
///                      .host(HostId("e1")).dataCentre(DataCentreId("dc1"))
///                      .build();
///   (*Planner)->setConfiguration(Config);
///   (*Planner)->setWorkers(List);
///   (*Planner)->setPlanner(true);
/// \endcode
class PlannerTask {
public:
  /// \param Name what happened, such as "gang running".
  using EventListener =
      std::function<void(std::string_view Name, const JobRecord &Job)>;

  class Builder {
  public:
    Builder(Executor &Exec, Store &Service, WorkerClient &Workers)
        : Exec(&Exec), Service(&Service), Workers(&Workers) {}
    /// Required.
    Builder &host(HostId Value);
    /// Required.
    Builder &dataCentre(DataCentreId Value);
    /// Longest time that a member may run after another one was lost, and that
    /// a gang lives without its planner. Default 10 s. Renewals ask for this
    /// less RenewInterval.
    Builder &leaseTtl(absl::Duration Value);
    /// Default 1 s.
    Builder &renewInterval(absl::Duration Value);
    /// Time between listings of all records. Default 30 s.
    Builder &listInterval(absl::Duration Value);
    /// How long a data centre must be lost before its jobs are taken over.
    /// Default 60 s.
    Builder &takeoverDelay(absl::Duration Value);
    /// Failed attempts of a repeatable job before it is recorded as failed.
    /// Default 3.
    Builder &maxFailures(int Value);
    /// How long records of ended jobs are kept. Default 24 h.
    Builder &retention(absl::Duration Value);
    /// How gangs are placed. Default: cells.
    Builder &placement(PlacementChoice Value);
    /// Told of each step of a job, for the timeline. Default: none.
    Builder &onEvent(EventListener Value);
    /// Seed of random backoffs. Default: from the host.
    Builder &seed(uint64_t Value);
    /// Error: InvalidArgument for a missing name or a time that is not
    /// positive.
    absl::StatusOr<std::unique_ptr<PlannerTask>> build() const;

  private:
    friend class PlannerTask;
    Executor *Exec;
    Store *Service;
    WorkerClient *Workers;
    HostId Host;
    DataCentreId DataCentre;
    absl::Duration LeaseTtl = absl::Seconds(10);
    absl::Duration RenewInterval = absl::Seconds(1);
    absl::Duration ListInterval = absl::Seconds(30);
    absl::Duration TakeoverDelay = absl::Seconds(60);
    absl::Duration Retention = absl::Hours(24);
    int MaxFailures = 3;
    uint64_t Seed = 0;
    PlacementChoice Placement = PlacementChoice::Cells;
    EventListener Listener;
  };

  struct Counts {
    size_t Queued = 0;
    size_t Running = 0;
    size_t Other = 0;
  };

  ~PlannerTask();
  PlannerTask(const PlannerTask &) = delete;
  PlannerTask &operator=(const PlannerTask &) = delete;

  /// Becomes active, or gives the role up. Giving it up leaves running gangs
  /// to the next planner.
  void setPlanner(bool Active);
  bool isPlanner() const;

  void setConfiguration(std::shared_ptr<const Configuration> Config);
  /// The workers of this data centre, whenever the list or a state changes.
  void setWorkers(const std::vector<PlannerWorker> &List);
  /// Whether a data centre answers no host of this one.
  void setDataCentreLost(const DataCentreId &Dc, bool Lost);
  /// A record was written. May be called on any host; ignored if not active.
  void onJobChange(const JobChange &Notice);

  /// The planner's view of a job, for followers while the store is down; null
  /// if it is not known here.
  const JobRecord *find(const JobId &Id) const;
  Counts counts() const;
  /// Guarantees, who borrows, and fragmentation. Takes time in proportion to
  /// the number of workers.
  PlannerReport report() const;

private:
  class Impl;
  explicit PlannerTask(const Builder &Options);

  std::unique_ptr<Impl> State;
};

} // namespace vanillayard

#endif
