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

/// The workers of the data centre with what the jobs hold on them and what is
/// guaranteed.
class Fleet {
public:
  Fleet() { this->rebuild(); }

  /// Takes over the list of workers. A worker that is not listed any more
  /// stays in the topology and accepts no work.
  /// \returns true if the topology is new, so that all jobs must be held
  ///          again.
  bool setWorkers(const std::vector<PlannerWorker> &List);
  /// Starts again with other guarantees; all jobs must be held again.
  void setConfiguration(std::shared_ptr<const Configuration> Config,
                        const DataCentreId &Dc);

  /// Frees everything that is held.
  void reset() { this->rebuild(); }

  const Topology &topology() const { return *this->Topo; }
  Occupancy &occupancy() { return *this->Held; }
  const Configuration *configuration() const { return this->Config.get(); }
  int accountIndex(const ClientAccountId &Account) const;
  /// \returns null if the worker was never listed.
  const PlannerWorker *find(const WorkerId &Id) const;
  const PlannerWorker &worker(int Index) const;
  bool isListed(const WorkerId &Id) const;
  std::vector<const PlannerWorker *> listed() const;

  /// Decides on a job; see AdmissionPlanner.
  void decide(const PlannedJob &Job, bool Borrowing,
              std::span<const uint8_t> Denied, absl::Time Now,
              AdmissionDecision &Out);
  /// Forgets cells that decide() bound and nobody uses.
  void dropUnusedCells(const AdmissionDecision &Decision);
  /// Makes the job a holder without places, with the cells of the decision.
  void hold(PlannedJob &Job, const AdmissionDecision &Decision, absl::Time Now);
  /// Gives the job its places. \returns false if one is held by another.
  bool place(PlannedJob &Job);
  /// Holds the places of a gang that was found running.
  void holdExisting(PlannedJob &Job, bool Reclaimable);
  void release(PlannedJob &Job);
  /// Accelerators that an account's jobs hold.
  int heldBy(int Account) const;
  /// Chooses the placement policy; all jobs must be held again.
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
  void reportHoldings(PlannerReport &Report) const;
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
