#ifndef VANILLAYARD_JOBS_GANGSTOPPER_H
#define VANILLAYARD_JOBS_GANGSTOPPER_H

#include "base/Executor.h"
#include "endpoint/WorkerClient.h"
#include "jobs/JobRecord.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace vanillayard {

/// Outcome of a member after a request to stop it.
enum class MemberOutcome {
  /// The worker has not confirmed an outcome yet.
  Pending,
  /// It did not run and never will under its lease.
  NeverStarted,
  Finished,
  Failed,
  /// It ran and was stopped before it had a result.
  Stopped,
  /// The worker has restarted and does not know the lease.
  Unknown,
};

/// Stops all members of a gang at the same time and determines the outcome of
/// each. Repeats the calls to a worker until it confirms an outcome.
class GangStopper {
public:
  struct Entry {
    MemberLease Place;
    MemberOutcome Outcome = MemberOutcome::Pending;
    std::string Result;
    /// Number of repeated calls so far.
    int Retries = 0;
  };

  /// \param Changed called after an outcome became known, a call has to be
  ///        repeated or a higher epoch was found; never from inside start().
  GangStopper(Executor &Exec, WorkerClient &Client, Epoch PlannerEpoch,
              std::vector<MemberLease> Members, std::function<void()> Changed);
  ~GangStopper();

  void start();

  const std::vector<Entry> &entries() const { return this->Entries; }
  /// Whether a worker refused to stop a member because it knows a higher epoch.
  bool isSuperseded() const { return this->Superseded; }
  bool isComplete() const;
  bool allMembers(MemberOutcome Outcome) const;
  bool anyMember(MemberOutcome Outcome) const;
  /// Sets the outcome of all members that are still pending.
  void resolvePending(MemberOutcome Outcome);

private:
  static constexpr absl::Duration RetryInterval = absl::Seconds(1);

  void stopMember(size_t Index);
  void onStopped(size_t Index, const absl::StatusOr<LeaseReport> &Report);
  void revokeLease(size_t Index);
  void onRevoked(size_t Index, const absl::StatusOr<RevokeResult> &Result);
  void queryResult(size_t Index);
  void onQueried(size_t Index, const absl::StatusOr<TaskResult> &Result);
  void scheduleRetry(size_t Index);
  void setOutcome(size_t Index, MemberOutcome Outcome);
  template <typename Work> auto whileAlive(Work Then);

  Executor &Exec;
  WorkerClient &Client;
  Epoch PlannerEpoch;
  std::vector<Entry> Entries;
  std::function<void()> Changed;
  bool Superseded = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace vanillayard

#endif
