#ifndef VANILLAYARD_REQUESTS_CLAIMEDRUNNER_H
#define VANILLAYARD_REQUESTS_CLAIMEDRUNNER_H

#include "LiveRequest.h"
#include "endpoint/WorkerClient.h"

namespace vanillayard {

class RunnerHost;

/// Runs requests that are not repeatable, at most once: look the claim up,
/// acquire a lease, claim, start, record the outcome. A claim without an
/// outcome is looked into by asking the worker that it names; another attempt
/// is made only after the worker proved that the lease was never started.
class ClaimedRunner {
public:
  ClaimedRunner(RunnerHost &Host, ClaimStore &Claims)
      : Host(Host), Claims(Claims) {}

  void start(const LivePtr &R, const WorkerTable::Reservation &Place);
  /// Asks the worker to stop a started request.
  void stop(LiveRequest &R);

private:
  void lookUp(LiveRequest &R);
  void onClaim(LiveRequest &R, const ClaimStore::Found &Claim);
  void askWorker(LiveRequest &R);
  void onRevoked(LiveRequest &R, RevokeResult Result);
  void fetchResult(LiveRequest &R);
  void pollLater(LiveRequest &R, bool Running);
  void acquire(LiveRequest &R, int64_t Revision);
  void onAcquired(LiveRequest &R, int64_t Revision,
                  const absl::StatusOr<LeaseReport> &Report);
  void onRefusedLease(LiveRequest &R, const absl::Status &Error);
  void claim(LiveRequest &R, int64_t Revision);
  void onClaimed(LiveRequest &R, const ClaimRecord &Record,
                 const absl::StatusOr<ClaimStore::PutResult> &Result);
  void startTask(LiveRequest &R);
  void giveUpClaim(LiveRequest &R);
  void onTaskEnded(LiveRequest &R, absl::Time Sent,
                   absl::StatusOr<TaskResult> Result);
  void onTaskError(LiveRequest &R, const absl::Status &Error);
  /// Answers the caller with the result of the claim's lease and records it.
  void conclude(LiveRequest &R, absl::StatusOr<std::string> Body);
  void recordOutcome(LiveRequest &R, const ClaimRecord &Record);
  void releaseLease(const Endpoint &Address, const LeaseId &Lease);
  void releasePlace(LiveRequest &R, int FreeSlots = -1);
  /// Answers the caller and ends the flow.
  void end(LiveRequest &R, absl::StatusOr<RequestAnswer> Result);
  /// Ends the flow of a request that was answered.
  void drop(LiveRequest &R);
  /// True if the request must not be started any more; it is then answered.
  bool isOver(LiveRequest &R);

  RunnerHost &Host;
  ClaimStore &Claims;
};

} // namespace vanillayard

#endif
