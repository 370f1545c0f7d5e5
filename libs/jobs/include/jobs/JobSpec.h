#ifndef VANILLAYARD_JOBS_JOBSPEC_H
#define VANILLAYARD_JOBS_JOBSPEC_H

#include "base/Ids.h"
#include "placement/GangShape.h"

#include "absl/time/time.h"

#include <string>

namespace vanillayard {

/// What a caller asks for.
struct JobSpec {
  ClientAccountId Account;
  CallerId Caller;
  KindId Kind;
  bool Repeatable = false;
  bool Checkpointable = false;
  GangShape Shape;
  /// Zero if the caller does not say.
  absl::Duration DeclaredRunTime;
  /// Longest wait for the start, from submission; zero for no limit.
  absl::Duration Deadline;
  /// Given to every member.
  std::string Body;

  /// Whether the job may be stopped to give a guarantee back.
  bool isReclaimable() const {
    return this->Repeatable || this->Checkpointable;
  }
};

} // namespace vanillayard

#endif
