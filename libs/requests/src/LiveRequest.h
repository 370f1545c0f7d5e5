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

/// One submission from admission to its end. Callbacks hold weak pointers, so
/// none acts on a request whose task was destroyed.
struct LiveRequest : std::enable_shared_from_this<LiveRequest> {
  enum class Stage {
    Queued,
    /// Waits before the queue for a worker, after a refusal or a failure.
    Returned,
    /// Waits for the end of a backoff.
    Backoff,
    Forwarding,
    Running,
  };

  /// One call that runs the request.
  struct OpenRun {
    LeaseId Lease;
    Endpoint Address;
  };

  uint64_t Token = 0;
  SubmittedRequest Request;
  /// Empty after it was called.
  AnswerCallback Done;
  Stage At = Stage::Queued;
  AdmissionQueue::Handle Queued = 0;
  Executor::TimerId Watchdog = 0;
  Executor::TimerId Wait = 0;
  absl::Time Started;
  int Attempts = 0;
  /// Starts that may have run the request without a known outcome.
  int UnresolvedStarts = 0;
  /// An attempt ran and failed.
  bool Ran = false;
  /// Steps that keep the request after its callback was called.
  int OpenSteps = 0;
  std::vector<size_t> FailedOn;
  std::vector<OpenRun> OpenRuns;

  // Of a request that is not repeatable:
  std::string ClaimKey;
  std::string Digest;
  LeaseId Lease;
  std::optional<WorkerTable::Reservation> Place;
  /// Claim of another attempt that is looked into, or the own one.
  std::optional<ClaimStore::Found> Claim;
  /// Revision of the own claim; 0 before it is made.
  int64_t OwnRevision = 0;
  int Polls = 0;

  bool isAnswered() const { return !this->Done; }
};

using LivePtr = std::shared_ptr<LiveRequest>;
using LiveWeak = std::weak_ptr<LiveRequest>;

} // namespace vanillayard

#endif
