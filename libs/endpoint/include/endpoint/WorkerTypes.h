#ifndef VANILLAYARD_ENDPOINT_WORKERTYPES_H
#define VANILLAYARD_ENDPOINT_WORKERTYPES_H

#include "base/EnumNames.h"
#include "base/Ids.h"

#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillayard {

/// Fencing token of a lease holder, ordered by (Term, Holder).
struct Epoch {
  int64_t Term = 0;
  HostId Holder;

  friend auto operator<=>(const Epoch &, const Epoch &) = default;
};

enum class LeaseState {
  Held,
  Running,
  Finished,
  Failed,
  Stopped,
  Expired,
  Revoked,
  Unknown,
};

inline constexpr EnumNames<LeaseState, 8>
    LeaseStateNames({{{LeaseState::Held, "held"},
                      {LeaseState::Running, "running"},
                      {LeaseState::Finished, "finished"},
                      {LeaseState::Failed, "failed"},
                      {LeaseState::Stopped, "stopped"},
                      {LeaseState::Expired, "expired"},
                      {LeaseState::Revoked, "revoked"},
                      {LeaseState::Unknown, "unknown"}}});

/// A worker's answer to the revocation of a lease. Only NeverStarted proves
/// that the task did not run and never will under this lease.
enum class RevokeResult { NeverStarted, Running, Finished, Unknown };

inline constexpr EnumNames<RevokeResult, 4>
    RevokeResultNames({{{RevokeResult::NeverStarted, "never_started"},
                        {RevokeResult::Running, "running"},
                        {RevokeResult::Finished, "finished"},
                        {RevokeResult::Unknown, "unknown"}}});

/// Request for a lease on slots and accelerators of a worker.
struct LeaseRequest {
  LeaseId Lease;
  /// JobId or RequestId that the lease is for.
  std::string Owner;
  ClientAccountId Account;
  KindOfWorkId Kind;
  int Slots = 1;
  /// Indexes of the requested accelerators; empty for none.
  std::vector<int> Accelerators;
  absl::Duration Ttl = absl::Seconds(10);
  Epoch Holder;
  /// Number of gang members; 1 for a job of one member.
  int GangSize = 1;
  /// Index of this member in its gang.
  int Member = 0;
  /// True if the scheduler may stop the task to restore an account's guarantee.
  bool Reclaimable = false;
};

/// State of a lease as its worker reports it.
struct LeaseReport {
  LeaseId Lease;
  std::string Owner;
  ClientAccountId Account;
  KindOfWorkId Kind;
  int Slots = 1;
  std::vector<int> Accelerators;
  Epoch Holder;
  int GangSize = 1;
  int Member = 0;
  bool Reclaimable = false;
  LeaseState State = LeaseState::Unknown;
  /// How long the task has run; zero if it was not started.
  absl::Duration RunTime;
  /// Whether a checkpoint has been written.
  bool Checkpointed = false;
};

/// Capacity, usage and leases that a worker reports.
struct WorkerStatus {
  WorkerId Worker;
  RackId Rack;
  /// Changes when the worker restarts and loses its leases.
  std::string Incarnation;
  bool Draining = false;
  int Slots = 0;
  int FreeSlots = 0;
  int Connections = 0;
  int FreeConnections = 0;
  /// Number of accelerators; their indexes are 0 to this - 1.
  int Accelerators = 0;
  std::vector<LeaseReport> Leases;
  /// Share of the processors in use, 0 to 1, as measured UsageLag ago.
  double Usage = 0;
  absl::Duration UsageLag;
};

/// Result of a task.
struct TaskResult {
  LeaseId Lease;
  LeaseState State = LeaseState::Finished;
  std::string Body;
  /// Free slots of the worker when it answered; -1 if the answer did not
  /// give them.
  int FreeSlots = -1;
};

/// Answer to the renewal of all leases on one worker.
struct RenewResult {
  std::vector<LeaseId> Renewed;
  /// Leases that the worker no longer has or that a higher epoch holds.
  std::vector<LeaseId> Refused;
  WorkerStatus Status;
};

} // namespace vanillayard

#endif
