#ifndef VANILLAYARD_REQUESTS_SUBMITTEDREQUEST_H
#define VANILLAYARD_REQUESTS_SUBMITTEDREQUEST_H

#include "base/Ids.h"

#include "absl/time/time.h"

#include <string>

namespace vanillayard {

/// A short request as a caller submitted it.
struct SubmittedRequest {
  /// Unique among the submissions to all hosts. A retry by the caller is a new
  /// submission with an id of its own.
  RequestId Id;
  ClientAccountId Account;
  CallerId Caller;
  KindOfWorkId Kind;
  absl::Time Deadline;
  /// The request may run more than once.
  bool Repeatable = false;
  /// Required for a non-repeatable request.
  std::string IdempotencyKey;
  std::string Body;
  /// Forwarded by another entry host; must not be forwarded again.
  bool Forwarded = false;
};

} // namespace vanillayard

#endif
