#ifndef VANILLAYARD_REQUESTS_CLAIMRECORD_H
#define VANILLAYARD_REQUESTS_CLAIMRECORD_H

#include "base/EnumNames.h"
#include "base/Ids.h"

#include "absl/status/statusor.h"

#include <optional>
#include <string>

namespace vanillayard {

enum class ClaimState {
  /// The task may have been started; only the worker of the record knows.
  Claimed,
  /// The submission that made the claim never started its task and never will.
  NotStarted,
  /// The task ran to its end.
  Finished,
  /// The task ran and failed.
  Failed,
};

inline constexpr EnumNames<ClaimState, 4>
    ClaimStateNames({{{ClaimState::Claimed, "claimed"},
                      {ClaimState::NotStarted, "not_started"},
                      {ClaimState::Finished, "finished"},
                      {ClaimState::Failed, "failed"}}});

/// Claim of a non-repeatable request, as it is stored. It names the worker and
/// the lease under which the request runs at most once.
struct ClaimRecord {
  /// SHA-256 of kind and body in hexadecimal. A different digest under the same
  /// key means that the idempotency key was reused for another request.
  std::string Digest;
  /// Id of the submission that made the claim.
  RequestId Request;
  WorkerId Worker;
  Endpoint Address;
  LeaseId Lease;
  ClaimState State = ClaimState::Claimed;
  /// Answer of a finished request. Absent if it is too large for the store; the
  /// worker then keeps it.
  std::optional<std::string> Answer;

  std::string toJson() const;
  /// Error: OutcomeUnknown if \p Text is malformed, because the request of that
  /// record may have run.
  static absl::StatusOr<ClaimRecord> fromJson(const std::string &Text);
};

} // namespace vanillayard

#endif
