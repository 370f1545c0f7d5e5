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

/// Phase of a job in the planner. A gang goes through them in this order:
/// Queued, Reclaiming (if other gangs must be preempted), Acquiring the leases,
/// Writing the placement, Running, Stopping (also to collect the results) and
/// Recording the outcome.
enum class JobPhase {
  Queued,
  Reclaiming,
  Acquiring,
  Writing,
  Running,
  Stopping,
  Recording,
};

/// A member of a placed gang, and its lease.
struct GangMember {
  MemberLease Place;
  uint8_t Mask = 0;
  LeaseState State = LeaseState::Unknown;
  /// When the call that last extended the lease was sent.
  absl::Time RenewedAt;
  /// Whether the worker has reported the lease under this planner's epoch.
  bool Confirmed = false;
  bool StartSent = false;
  bool Lost = false;
  bool Checkpointed = false;
  /// Consecutive renewals that found no process at the worker's address.
  int Refusals = 0;
};

/// A job as the planner tracks it in memory. A new planner rebuilds this state
/// from the records and the workers.
struct PlannedJob {
  JobRecord Record;
  int64_t ModRevision = 0;
  /// False for a gang found on workers whose record could not be read yet.
  bool HasRecord = true;
  JobPhase Phase = JobPhase::Queued;
  /// Changes with the phase, so that answers to calls of an earlier phase are
  /// ignored.
  uint64_t Serial = 0;

  std::vector<GangMember> Members;
  /// Index of the holder in the Occupancy; -1 if the job holds nothing.
  int Holder = -1;
  bool HeldReclaimable = false;
  absl::Time StartedAt;

  /// The job is not tried before this time.
  absl::Time NotBefore = absl::InfinitePast();
  int Backoffs = 0;
  /// Workers on which a member failed.
  absl::flat_hash_set<WorkerId> FailedWorkers;

  /// A caller cancelled the job, or its record has ended.
  bool CancelWanted = false;
  /// Set when the gang is selected as a victim, until it is queued again.
  bool BeingReclaimed = false;
  absl::Time ReclaimDeadline;
  /// Accelerators reserved for this job until its victims have stopped.
  GangPlacement Promised;
  std::vector<JobId> Victims;

  std::unique_ptr<GangStopper> Stopper;
  absl::Time StopStartedAt;
  bool UnresolvedWritten = false;

  bool InQueue = false;
  std::list<PlannedJob *>::iterator QueuePosition;

  int accelerators() const { return this->Record.Spec.Shape.accelerators(); }
  bool samePlacement(const JobRecord &Other) const;
  /// Returns the oldest time at which an active lease was last extended;
  /// InfiniteFuture if no lease is active.
  absl::Time oldestRenewal() const;
  std::vector<MemberLease> placement() const;
  static uint8_t maskOf(const std::vector<int> &Accelerators);
  static std::vector<int> indexesOf(uint8_t Mask);
};

} // namespace vanillayard

#endif
