#ifndef VANILLAYARD_CONTROL_CALLCONTEXT_H
#define VANILLAYARD_CONTROL_CALLCONTEXT_H

#include "absl/time/time.h"

#include <string>

namespace vanillayard {

/// Addressee, credentials and deadline of a caller's request to a queue or job.
struct CallContext {
  std::string HostName;
  std::string Path;
  /// Empty if the request has none.
  std::string ApiKey;
  /// How long the caller waits for the answer; zero if not specified.
  absl::Duration Deadline = absl::ZeroDuration();
};

} // namespace vanillayard

#endif
