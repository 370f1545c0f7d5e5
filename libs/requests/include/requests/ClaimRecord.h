#ifndef VANILLAYARD_REQUESTS_CLAIMRECORD_H
#define VANILLAYARD_REQUESTS_CLAIMRECORD_H

#include "base/EnumNames.h"
#include "base/Ids.h"

#include "absl/status/statusor.h"

#include <optional>
#include <string>

namespace vanillayard {

enum class ClaimState {
  /// The lease may have been started; the named worker knows.
  Claimed,
  /// The claimant gave up and will never start the lease.
  NotStarted,
  Finished,
  /// The task ran and failed.
  Failed,
};

inline constexpr EnumNames<ClaimState, 4>
    ClaimStateNames({{{ClaimState::Claimed, "claimed"},
                      {ClaimState::NotStarted, "not_started"},
                      {ClaimState::Finished, "finished"},
                      {ClaimState::Failed, "failed"}}});

/// Claim of a request that is not repeatable, as the store keeps it.
struct ClaimRecord {
  /// Digest of kind and body; another request with the same key differs.
  std::string Digest;
  /// Submission that made the claim.
  RequestId Request;
  WorkerId Worker;
  Endpoint Address;
  LeaseId Lease;
  ClaimState State = ClaimState::Claimed;
  /// Answer of a finished request; absent if it is too large for the store and
  /// is kept by the worker.
  std::optional<std::string> Answer;

  std::string toJson() const;
  /// Error: OutcomeUnknown, since the request of a record that cannot be read
  /// may have run.
  static absl::StatusOr<ClaimRecord> fromJson(const std::string &Text);
};

} // namespace vanillayard

#endif
