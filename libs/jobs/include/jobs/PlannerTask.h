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

/// The planner of a data centre: queues jobs, places gangs, renews their
/// leases, and records outcomes. Every host has one, but it is active only on
/// the host that is made planner. Two planners active at the same time are
/// safe: workers fence leases by epoch, and records are written conditionally.
///
/// \code
///   auto Planner = PlannerTask::Builder(Exec, Store, Workers)
///                      .host(HostId("e1")).dataCentre(DataCentreId("dc1"))
///                      .build();
///   (*Planner)->setConfiguration(Config);
///   (*Planner)->setWorkers(List);
///   (*Planner)->setActive(true);
/// \endcode
class PlannerTask {
public:
  /// \param Name the event: "start", "stop", "reclaim" or the name of the
  ///        state in which the job ended.
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
    /// Longest time for which a member keeps running after another one was
    /// lost, and for which a gang keeps running without a planner. Must be more
    /// than two renewal intervals. Default 10 s. Renewals request leases of
    /// this value minus RenewInterval.
    Builder &leaseTtl(absl::Duration Value);
    /// Time between renewals of the leases. Default 1 s.
    Builder &renewInterval(absl::Duration Value);
    /// Time between listings of all records. Default 30 s.
    Builder &listInterval(absl::Duration Value);
    /// How long a data centre must be lost before its jobs are taken over.
    /// Default 60 s.
    Builder &takeoverDelay(absl::Duration Value);
    /// Failed attempts of a repeatable job before it is recorded as failed.
    /// Default 3.
    Builder &maxFailures(int Value);
    /// How long records of ended jobs are kept after submission. Default 24 h.
    Builder &retention(absl::Duration Value);
    /// Placement policy for gangs. Default: cells.
    Builder &placement(PlacementChoice Value);
    /// Called for each event of a job, for the timeline. Default: none.
    Builder &onEvent(EventListener Value);
    /// Seed of random backoffs; 0 derives it from the host id. Default 0.
    Builder &seed(uint64_t Value);
    /// Error: InvalidArgument if the host or data centre is missing, the lease
    /// is not longer than two renewal intervals, or the renewal interval, the
    /// list interval or the maximum of failures is not positive.
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

  /// Number of jobs by phase. Other has all phases but queued and running.
  struct JobCounts {
    size_t Queued = 0;
    size_t Running = 0;
    size_t Other = 0;
  };

  ~PlannerTask();
  PlannerTask(const PlannerTask &) = delete;
  PlannerTask &operator=(const PlannerTask &) = delete;

  /// Activates or deactivates this planner. Deactivation leaves running gangs
  /// to the next planner.
  void setActive(bool Active);
  bool isActive() const;

  void setConfiguration(std::shared_ptr<const Configuration> Config);
  /// Sets the workers of this data centre. To be called whenever the list or
  /// the state of a worker changes.
  void setWorkers(const std::vector<PlannerWorker> &List);
  /// Sets whether no host of this data centre gets an answer from another data
  /// centre. The planner takes over the jobs of a lost one after takeoverDelay.
  void setDataCentreLost(const DataCentreId &Dc, bool Lost);
  /// Handles the notification that a record was written. May be called on any
  /// host; ignored if this planner is not active.
  void onJobChange(const JobChange &Notice);

  /// Returns the planner's copy of a job's record, to answer queries while the
  /// store is down; null if this planner does not track the job.
  const JobRecord *findJob(const JobId &Id) const;
  JobCounts counts() const;
  /// Reports guarantees, borrowed accelerators and fragmentation. Takes time in
  /// proportion to the number of workers.
  PlannerReport report() const;

private:
  class Impl;
  explicit PlannerTask(const Builder &Options);

  std::unique_ptr<Impl> State;
};

} // namespace vanillayard

#endif
