#ifndef VANILLAYARD_WIRE_FORWARDMESSAGES_H
#define VANILLAYARD_WIRE_FORWARDMESSAGES_H

#include "base/Ids.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <string>

namespace vanillayard {

/// A short request that is forwarded to another data centre.
struct ForwardRequest {
  RequestId Request;
  ClientAccountId Account;
  CallerId Caller;
  KindOfWorkId Kind;
  /// Time left until the caller's deadline when the message is sent, in whole
  /// milliseconds. A duration, since the clocks of the hosts differ.
  absl::Duration Remaining;
  bool Repeatable = false;
  /// Empty if the caller gave none.
  std::string IdempotencyKey;
  std::string Body;

  friend bool operator==(const ForwardRequest &,
                         const ForwardRequest &) = default;
};

/// Answer to a ForwardRequest.
struct ForwardReply {
  /// The worker's answer, or an error made by makeError(). A kind that the
  /// receiver does not know arrives as Internal.
  absl::StatusOr<std::string> Answer;

  friend bool operator==(const ForwardReply &A, const ForwardReply &B) {
    return A.Answer.status() == B.Answer.status() &&
           (!A.Answer.ok() || *A.Answer == *B.Answer);
  }
};

} // namespace vanillayard

#endif
