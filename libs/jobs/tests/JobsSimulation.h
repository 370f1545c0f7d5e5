#ifndef VANILLAYARD_JOBS_TESTS_JOBSSIMULATION_H
#define VANILLAYARD_JOBS_TESTS_JOBSSIMULATION_H

#include "PausableExecutor.h"
#include "base/VirtualExecutor.h"
#include "endpoint/testing/FakeFleetClient.h"
#include "jobs/JobNotifier.h"
#include "jobs/JobService.h"
#include "jobs/PlannerTask.h"
#include "store/testing/FakeStore.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vanillayard {

/// One simulated entry host with its own executor, store client, worker client,
/// planner and job service. All but the executor are null while it is killed.
struct JobsHost {
  PausableExecutor *Exec = nullptr;
  std::unique_ptr<FakeStore> Store;
  std::unique_ptr<FakeFleetClient> Workers;
  std::unique_ptr<PlannerTask> Planner;
  std::unique_ptr<JobService> Jobs;
};

/// Several hosts that share one store and one fleet of workers, on a virtual
/// clock. A test oracle checks the guarantees after each step from the workers'
/// state and the stored records, without any state of the planners.
class JobsSimulation final : public JobNotifier {
public:
  static constexpr absl::Duration LeaseTtl = absl::Seconds(10);

  JobsSimulation(int Racks, int WorkersPerRack, int Hosts,
                 Configuration InitialConfig = defaultConfiguration(0));
  ~JobsSimulation() override;

  /// Accounts "big", "small" and "other", and kind "separation". "big" is
  /// guaranteed \p Cells cells of 8 accelerators in data centre "dc1".
  static Configuration defaultConfiguration(int Cells);
  static JobSpec makeSpec(const std::string &Account, int Members,
                          int AcceleratorsPerMember, absl::Duration RunTime,
                          bool Repeatable);

  /// Submits a job through \p Host. \returns the job's id, which is derived
  /// from account and key and so known before the answer.
  JobId submit(const JobSpec &Spec, const std::string &Key, size_t Host = 0);
  void cancel(const JobId &Id, size_t Host = 0);
  std::optional<JobRecord> recordOf(const JobId &Id) const;
  JobState stateOf(const JobId &Id) const;

  void notify(const JobChange &Notice) override;

  /// Advances the clock in steps of 100 ms and runs the oracle after each step.
  void runFor(absl::Duration Time);
  /// Runs until all accepted jobs have ended. \returns false if some have not
  /// ended after \p Limit.
  bool runUntilEnded(absl::Duration Limit);

  void killHost(size_t Host);
  void restartHost(size_t Host);
  /// Kills \p From if \p Kill is set, otherwise pauses it. \p To becomes
  /// planner 6 s later, when the failure has been detected.
  void failOver(size_t From, size_t To, bool Kill);
  /// Ends every fault and makes \p Host the planner. The other hosts give up
  /// the role 2 s later.
  void heal(size_t Host);
  void setWorkerDraining(size_t Worker, bool Value);
  /// Passes the list of workers to the planners of all hosts.
  void shareWorkers();
  Endpoint address(size_t Worker) const { return this->Addresses[Worker]; }

  /// Runs of all members of a job.
  std::vector<ExecutionRecord> runsOf(const JobId &Id) const;
  /// The first violation that the oracle found; empty if there is none.
  const std::string &violation() const { return this->Violation; }

  VirtualExecutor Exec;
  FakeWorkerFleet Fleet{Exec};
  std::vector<JobsHost> Hosts;
  std::vector<PlannerWorker> WorkerList;
  DataCentreId DataCentre{"dc1"};
  /// Jobs whose submission was answered as accepted.
  std::set<JobId> Accepted;
  /// Jobs whose submission was answered with an error that proves that they do
  /// not run.
  std::set<JobId> JobsKnownNotRun;
  /// While true, no planner receives a JobChange.
  bool LoseNotices = false;
  /// Index of the worker that the fault cases of a table apply to.
  size_t FaultyWorker = 0;

private:
  struct GangObservation {
    std::set<int> SeenActive;
    absl::Time LostSince = absl::InfiniteFuture();
    bool Started = false;
  };

  void makeHost(size_t Index);
  void checkInvariants();
  void checkGang(const std::string &Gang,
                 const std::vector<const ExecutionRecord *> &Runs);
  void checkAtMostOnce();
  void checkOutcomes();
  void recordViolation(const std::string &Text);

  std::shared_ptr<FakeStoreData> Data;
  std::shared_ptr<const Configuration> Config;
  std::vector<std::unique_ptr<PausableExecutor>> Executors;
  std::vector<Endpoint> Addresses;
  std::map<std::string, GangObservation> Gangs;
  /// All leases that a worker has reported, with its incarnation at that time.
  std::map<LeaseId, std::string> SeenLeases;
  std::map<LeaseId, absl::Time> Checkpointed;
  /// The encoded record of each ended job when its end was first seen.
  std::map<JobId, std::string> Outcomes;
  std::string Violation;
};

} // namespace vanillayard

#endif
