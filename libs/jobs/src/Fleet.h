#ifndef VANILLAYARD_JOBS_FLEET_H
#define VANILLAYARD_JOBS_FLEET_H

#include "PlannedJob.h"
#include "config/Configuration.h"
#include "jobs/PlannerWorker.h"
#include "placement/AdmissionPlanner.h"
#include "placement/CellPlacement.h"

#include "absl/container/flat_hash_map.h"

#include <memory>
#include <vector>

#include "config/PolicyChoices.h"
#include "jobs/PlannerReport.h"

namespace vanillayard {

/// The workers of the data centre, the accelerators that jobs hold on them, and
/// the guaranteed cells.
class Fleet {
public:
  Fleet() { this->rebuild(); }

  /// Replaces the list of workers. A worker that is no longer listed stays in
  /// the topology and gets no new work.
  /// \returns true if the topology was rebuilt, so that holdExisting() must be
  ///          called again for all jobs.
  bool setWorkers(const std::vector<PlannerWorker> &List);
  /// Rebuilds the state with other guarantees; holdExisting() must be called
  /// again for all jobs.
  void setConfiguration(std::shared_ptr<const Configuration> Config,
                        const DataCentreId &Dc);

  /// Releases all accelerators and cells.
  void reset() { this->rebuild(); }

  const Topology &topology() const { return *this->Topo; }
  Occupancy &occupancy() { return *this->Held; }
  const Configuration *configuration() const { return this->Config.get(); }
  int accountIndex(const ClientAccountId &Account) const;
  /// \returns null if the worker was never listed.
  const PlannerWorker *findWorker(const WorkerId &Id) const;
  const PlannerWorker &worker(int Index) const;
  bool isListed(const WorkerId &Id) const;
  std::vector<const PlannerWorker *> listedWorkers() const;

  /// Decides where and in which class a job is placed; see AdmissionPlanner.
  void decideAdmission(const PlannedJob &Job, bool Borrowing,
                       std::span<const uint8_t> Denied, absl::Time Now,
                       AdmissionDecision &Out);
  /// Unbinds the cells that decideAdmission() bound and no holder uses.
  void unbindUnusedCells(const AdmissionDecision &Decision);
  /// Adds the job as a holder that uses the cells of the decision and has no
  /// accelerators yet.
  void addHolder(PlannedJob &Job, const AdmissionDecision &Decision,
                 absl::Time Now);
  /// Gives the job the accelerators of its members.
  /// \returns false if another job holds one of them.
  bool place(PlannedJob &Job);
  /// Adds a gang that is placed already as the holder of its accelerators.
  void holdExisting(PlannedJob &Job, bool Reclaimable);
  void release(PlannedJob &Job);
  /// Number of accelerators that the jobs of an account hold.
  int acceleratorsHeldBy(int Account) const;
  /// Selects the placement policy; holdExisting() must be called again for all
  /// jobs.
  void setPlacement(PlacementChoice Choice);
  PlannerReport report() const;

private:
  struct Entry {
    PlannerWorker Worker;
    bool Listed = false;
  };

  void rebuild();
  void applyAvailability();
  void reportGuarantees(PlannerReport &Report) const;
  void addAcceleratorUse(PlannerReport &Report) const;
  int heldInOwnCells(int Account) const;

  absl::flat_hash_map<WorkerId, Entry> Workers;
  std::shared_ptr<const Configuration> Config;
  DataCentreId DataCentre;
  std::unique_ptr<Topology> Topo;
  std::unique_ptr<Occupancy> Held;
  std::unique_ptr<GuaranteeLedger> Ledger;
  std::unique_ptr<PlacementPolicy> Policy = std::make_unique<CellPlacement>();
  std::unique_ptr<AdmissionPlanner> Planner;
};

} // namespace vanillayard

#endif
