#ifndef VANILLAYARD_FLEET_QUEUE_H
#define VANILLAYARD_FLEET_QUEUE_H

#include "absl/time/time.h"

#include <string>

namespace vanillayard {

/// Settings of a queue that callers submit jobs to. The host name and the path
/// of a request select the queue.
struct Queue {
  std::string Name;
  /// Host name of the requests, without a port.
  std::string HostName;
  /// Path prefix of the requests; the rest of the path is the job's id.
  std::string PathPrefix;
  /// Pool of workers that runs its tasks.
  std::string WorkerPool;
  /// 0 is the most urgent.
  int Priority = 0;
  int MaxAttempts = 1;
  double Stretch = 1.0;
  absl::Duration TargetLatency = absl::ZeroDuration();
  /// Longest time until a call is answered.
  absl::Duration CallTimeout = absl::Seconds(3);
  /// Calls need no API key.
  bool IsPublic = false;
  /// The queue is configured with an advice service, which must approve the
  /// workers chosen for each step. Jobs of such a queue are refused as
  /// unsupported.
  bool NeedsAdvice = false;
};

} // namespace vanillayard

#endif
