#ifndef VANILLAYARD_REQUESTS_SUBMITTEDREQUEST_H
#define VANILLAYARD_REQUESTS_SUBMITTEDREQUEST_H

#include "base/Ids.h"

#include "absl/time/time.h"

#include <string>

namespace vanillayard {

/// A short request as a caller submitted it. \c Id must be unique among all
/// submissions of all hosts; a retry by the caller is a submission of its own.
struct SubmittedRequest {
  RequestId Id;
  ClientAccountId Account;
  CallerId Caller;
  KindId Kind;
  absl::Time Deadline;
  bool Repeatable = false;
  /// Required if not repeatable.
  std::string IdempotencyKey;
  std::string Body;
  /// Came from another entry host, so it is not forwarded again.
  bool Forwarded = false;
};

} // namespace vanillayard

#endif
