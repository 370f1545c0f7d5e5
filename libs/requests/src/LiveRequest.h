#ifndef VANILLAYARD_REQUESTS_LIVEREQUEST_H
#define VANILLAYARD_REQUESTS_LIVEREQUEST_H

#include "WorkerTable.h"
#include "base/Executor.h"
#include "policy/AdmissionQueue.h"
#include "requests/ClaimStore.h"
#include "requests/RequestAnswer.h"
#include "requests/SubmittedRequest.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace vanillayard {

/// State of one submission from admission until it is answered and its pending
/// operations have ended. Callbacks hold weak pointers to it, so that they do
/// nothing after the RequestTask was destroyed.
struct LiveRequest : std::enable_shared_from_this<LiveRequest> {
  enum class Stage {
    Queued,
    /// Waits ahead of the queue for a worker, after a refusal or a backoff.
    Requeued,
    /// Waits for the backoff before a retry.
    Backoff,
    Forwarding,
    Running,
  };

  /// A run call to a worker that has not returned.
  struct InFlightAttempt {
    LeaseId Lease;
    Endpoint Address;
  };

  /// Identifies the request within its RequestTask; 0 if it was refused at
  /// once.
  uint64_t Token = 0;
  SubmittedRequest Request;
  /// Empty once the request was answered.
  AnswerCallback Done;
  Stage CurrentStage = Stage::Queued;
  AdmissionQueue::Handle QueueHandle = 0;
  Executor::TimerId DeadlineTimer = 0;
  /// Timer of the backoff, the hedge or the next poll of the claim.
  Executor::TimerId DelayTimer = 0;
  absl::Time Started;
  int Attempts = 0;
  /// Number of starts and forwards whose outcome is not known; each of them may
  /// have run the request.
  int UnresolvedStarts = 0;
  /// An attempt ran and its task failed.
  bool HasFailedRun = false;
  /// Number of attempts and forwards that have not ended; the request is kept
  /// until it is 0, also after it was answered.
  int PendingOperations = 0;
  /// Indexes of the workers on which an attempt failed.
  std::vector<size_t> FailedOn;
  std::vector<InFlightAttempt> InFlightAttempts;

  // The members below are used only for non-repeatable requests.
  std::string ClaimKey;
  std::string Digest;
  LeaseId Lease;
  std::optional<WorkerTable::Reservation> Slot;
  /// The claim last found under the key: of this or of another submission.
  std::optional<ClaimStore::StoredClaim> Claim;
  /// Mod revision of the claim that this submission wrote; 0 before that.
  int64_t OwnRevision = 0;
  /// Number of polls of the claim's outcome; determines the poll delay.
  int Polls = 0;

  bool isAnswered() const { return !this->Done; }
};

using LivePtr = std::shared_ptr<LiveRequest>;
using LiveWeak = std::weak_ptr<LiveRequest>;

} // namespace vanillayard

#endif
