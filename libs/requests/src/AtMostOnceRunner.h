#ifndef VANILLAYARD_REQUESTS_ATMOSTONCERUNNER_H
#define VANILLAYARD_REQUESTS_ATMOSTONCERUNNER_H

#include "LiveRequest.h"
#include "endpoint/WorkerClient.h"

namespace vanillayard {

class RunnerContext;

/// Runs non-repeatable requests at most once, in five steps: look up the claim,
/// acquire a lease, write the claim, start the task, record the outcome. If a
/// claim without an outcome exists, the runner revokes its lease on the worker
/// that it names, and makes another attempt only after that worker has answered
/// that the task was never started.
class AtMostOnceRunner {
public:
  AtMostOnceRunner(RunnerContext &Context, ClaimStore &Claims)
      : Context(Context), Claims(Claims) {}

  void start(const LivePtr &R, const WorkerTable::Reservation &Slot);
  /// Asks the worker to stop a started request.
  void stopTask(LiveRequest &R);

private:
  void lookUpClaim(LiveRequest &R);
  void onClaimFound(LiveRequest &R, const ClaimStore::StoredClaim &Claim);
  void revokeLease(LiveRequest &R);
  void onRevoked(LiveRequest &R, RevokeResult Result);
  void fetchResult(LiveRequest &R);
  void pollLater(LiveRequest &R, bool Running);
  void acquireLease(LiveRequest &R, int64_t Revision);
  void onAcquired(LiveRequest &R, int64_t Revision,
                  const absl::StatusOr<LeaseReport> &Report);
  void onLeaseRefused(LiveRequest &R, const absl::Status &Error);
  void writeClaim(LiveRequest &R, int64_t Revision);
  void onClaimed(LiveRequest &R, const ClaimRecord &Record,
                 const absl::StatusOr<ClaimStore::PutResult> &Result);
  void startTask(LiveRequest &R);
  void abandonClaim(LiveRequest &R);
  void onTaskEnded(LiveRequest &R, absl::Time Sent,
                   absl::StatusOr<TaskResult> Result);
  void onTaskError(LiveRequest &R, const absl::Status &Error);
  /// Answers the caller with the result of the claim's lease and records the
  /// outcome in the claim.
  void conclude(LiveRequest &R, absl::StatusOr<std::string> Body);
  void recordOutcome(LiveRequest &R, const ClaimRecord &Record);
  void releaseLease(const Endpoint &Address, const LeaseId &Lease);
  void releaseSlot(LiveRequest &R, int FreeSlots = -1);
  /// Releases the slot, answers the caller and ends the operation.
  void answerAndEnd(LiveRequest &R, absl::StatusOr<RequestAnswer> Result);
  /// Releases the slot and ends the operation of an answered request.
  void endAnswered(LiveRequest &R);
  /// Returns true if the request was answered and must not be started. Answers
  /// it with DeadlineExpired if its deadline has passed.
  bool isAnsweredOrExpired(LiveRequest &R);

  RunnerContext &Context;
  ClaimStore &Claims;
};

} // namespace vanillayard

#endif
