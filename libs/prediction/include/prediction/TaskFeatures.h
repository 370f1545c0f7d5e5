#ifndef VANILLAYARD_PREDICTION_TASKFEATURES_H
#define VANILLAYARD_PREDICTION_TASKFEATURES_H

#include "base/Ids.h"

#include "absl/time/time.h"

#include <string>

namespace vanillayard {

/// What is known of a task before it runs.
struct TaskFeatures {
  std::string Queue;
  ClientAccountId Account;
  /// Position of its step in the job.
  int Step = 0;
  /// The submitter's estimate; zero if there is none.
  absl::Duration Estimate = absl::ZeroDuration();
};

} // namespace vanillayard

#endif
