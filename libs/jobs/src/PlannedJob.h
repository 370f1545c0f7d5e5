#ifndef VANILLAYARD_JOBS_PLANNEDJOB_H
#define VANILLAYARD_JOBS_PLANNEDJOB_H

#include "GangStopper.h"
#include "base/Executor.h"
#include "jobs/JobStore.h"
#include "placement/AdmissionPlanner.h"

#include "absl/container/flat_hash_set.h"

#include <list>
#include <memory>
#include <string>
#include <vector>

namespace vanillayard {

/// Where a job is in the planner. The order of a gang's life:
/// Queued, Reclaiming (if victims must leave), Acquiring, Writing, Running,
/// Stopping (also to collect the results) and Recording.
enum class JobPhase {
  Queued,
  Reclaiming,
  Acquiring,
  Writing,
  Running,
  Stopping,
  Recording,
};

/// One member of a gang that has leases.
struct GangMember {
  MemberPlacement Place;
  uint8_t Mask = 0;
  LeaseState State = LeaseState::Unknown;
  /// When the call was sent that last extended the lease.
  absl::Time RenewedAt;
  /// Whether the lease answered under this planner's epoch.
  bool Confirmed = false;
  bool StartSent = false;
  bool Lost = false;
  bool Checkpointed = false;
  /// Renewals in a row that found no process at the worker's address.
  int Refusals = 0;
};

/// A job in the planner's soft state.
struct PlannedJob {
  JobRecord Record;
  int64_t ModRevision = 0;
  /// False for a gang found on workers whose record could not be read yet.
  bool HasRecord = true;
  JobPhase Phase = JobPhase::Queued;
  /// Changes with the phase, so that late answers are recognised.
  uint64_t Serial = 0;

  std::vector<GangMember> Members;
  /// Index in the occupancy; -1 if the job holds nothing.
  int Holder = -1;
  bool HeldReclaimable = false;
  absl::Time StartedAt;

  /// Not to be tried before.
  absl::Time NotBefore = absl::InfinitePast();
  int Backoffs = 0;
  /// Workers on which a member failed.
  absl::flat_hash_set<WorkerId> Avoid;

  bool CancelWanted = false;
  /// Set while the gang is being reclaimed.
  bool Reclaimed = false;
  absl::Time ReclaimDeadline;
  /// Places kept for this job while victims leave.
  GangPlacement Promised;
  std::vector<JobId> Victims;

  std::unique_ptr<GangStopper> Stopper;
  absl::Time StopSince;
  bool UnresolvedWritten = false;

  bool InQueue = false;
  std::list<PlannedJob *>::iterator QueuePosition;

  int accelerators() const { return this->Record.Spec.Shape.accelerators(); }
  bool samePlacement(const JobRecord &Other) const;
  /// Earliest time at which a lease was last extended.
  absl::Time oldestRenewal() const;
  std::vector<MemberPlacement> placement() const;
  static uint8_t maskOf(const std::vector<int> &Accelerators);
  static std::vector<int> indexesOf(uint8_t Mask);
};

} // namespace vanillayard

#endif
