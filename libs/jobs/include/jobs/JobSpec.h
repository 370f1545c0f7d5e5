#ifndef VANILLAYARD_JOBS_JOBSPEC_H
#define VANILLAYARD_JOBS_JOBSPEC_H

#include "base/Ids.h"
#include "placement/GangShape.h"

#include "absl/time/time.h"

#include <string>

namespace vanillayard {

/// A job as the caller requests it.
struct JobSpec {
  ClientAccountId Account;
  CallerId Caller;
  KindOfWorkId Kind;
  bool Repeatable = false;
  bool Checkpointable = false;
  GangShape Shape;
  /// Zero if the caller declares none.
  absl::Duration DeclaredRunTime;
  /// Longest time from submission to start; zero for no limit.
  absl::Duration Deadline;
  /// Input of the job; every member receives all of it.
  std::string Body;

  /// Whether the job may be preempted to reclaim another account's guarantee.
  bool isReclaimable() const {
    return this->Repeatable || this->Checkpointable;
  }
};

} // namespace vanillayard

#endif
