#ifndef VANILLAYARD_SCHEDULER_PLACEMENTSEARCH_H
#define VANILLAYARD_SCHEDULER_PLACEMENTSEARCH_H

#include "FleetState.h"
#include "JobTable.h"
#include "PlacementOutcome.h"
#include "PlacementRequest.h"
#include "WorkerExclusions.h"
#include "scheduler/SchedulerSettings.h"

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <optional>
#include <string>

namespace vanillayard {

/// Chooses workers for tasks, and the runs to preempt for urgent tasks.
///
/// Packs tasks by best fit, because the load mixes tasks of one accelerator
/// with gangs of whole workers: a task goes to the worker that keeps the fewest
/// accelerators free, so that whole workers stay free for wide tasks. A gang
/// that prefers one rack goes to the rack with the fewest free accelerators
/// among those that can hold it.
class PlacementSearch {
public:
  PlacementSearch(FleetState &Fleet, const JobTable &Jobs,
                  const SchedulerSettings &Settings)
      : Fleet(Fleet), Jobs(Jobs), Settings(Settings) {}

  /// Number of guaranteed accelerators, by client account.
  absl::flat_hash_map<ClientAccountId, int64_t> Guarantees;

  /// Finds workers for all tasks of a gang.
  PlacementOutcome findForGang(const PlacementRequest &Request);
  /// Finds a worker for one task.
  PlacementOutcome findForTask(const PlacementRequest &Request, int Index);
  /// True if the workers outside the data centres that are being evacuated
  /// could not hold the step even if they were empty, but all workers together
  /// could.
  bool needsEvacuatedWorkers(const PlacementRequest &Request) const;
  /// Counts the workers that cannot take a task of the step now, by reason.
  WorkerExclusions exclusions(const PlacementRequest &Request) const;

  /// True if the account has a guarantee and its urgent demand does not exceed
  /// it.
  bool isWithinGuarantee(const ClientAccountId &Account) const;

private:
  /// Limits of one search.
  struct SearchScope {
    /// Only workers of this rack; empty for all racks.
    RackId Rack;
    bool WithPreemption = false;
  };

  bool isEligible(const PlacementRequest &Request, const WorkerState &Worker,
                  const TentativePlacement &Placement) const;
  bool placeTask(const PlacementRequest &Request, int Index,
                 const SearchScope &Scope, TentativePlacement &Placement);
  bool placeByPreemption(const PlacementRequest &Request,
                         const SearchScope &Scope,
                         TentativePlacement &Placement);
  std::optional<TentativePlacement> placeGang(const PlacementRequest &Request,
                                              const SearchScope &Scope);
  std::optional<TentativePlacement>
  placeInBestRack(const PlacementRequest &Request, bool WithPreemption);
  std::vector<RunRecord *> victimsOn(const PlacementRequest &Request,
                                     WorkerState &Worker,
                                     const TentativePlacement &Placement);
  bool isVictim(const PlacementRequest &Request, const RunRecord &Run) const;
  void evictWithGang(const PlacementRequest &Request, RunRecord &Run,
                     TentativePlacement &Placement);
  /// Cost of stopping a run: unsaved work in core-seconds, plus
  /// UrgentVictimPenalty for an urgent run.
  double lossOf(const PlacementRequest &Request, const RunRecord &Run) const;
  double lossWithGang(const PlacementRequest &Request, const RunRecord &Run);
  std::vector<RunRecord *> gangOf(const RunRecord &Run);
  /// True if the total capacity of one rack can hold the gang, whatever is in
  /// use there now.
  bool fitsInOneRack(const PlacementRequest &Request) const;
  /// True if a worker in the rack of the step's data can take a task of it once
  /// it has room, or may still report.
  bool canDataRackHold(const PlacementRequest &Request) const;
  /// Whether a step without room near its data, or in one rack, waits for it
  /// rather than run elsewhere.
  bool mayWaitForLocality(const PlacementRequest &Request) const;
  std::vector<RackId> racksOfPool(const std::string &WorkerPool) const;

  FleetState &Fleet;
  const JobTable &Jobs;
  const SchedulerSettings &Settings;
};

} // namespace vanillayard

#endif
