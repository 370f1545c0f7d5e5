#ifndef VANILLAYARD_SCHEDULER_PROGRESSCHANGE_H
#define VANILLAYARD_SCHEDULER_PROGRESSCHANGE_H

#include "base/Ids.h"
#include "fleet/BatchState.h"

#include <string>

namespace vanillayard {

/// A progress record that has to be written.
struct ProgressChange {
  JobId Job;
  std::string Record;
  /// The job is over; it is forgotten once this has been written.
  bool IsFinal = false;
  BatchState State = BatchState::Queued;
  /// Name of the job's queue.
  std::string Queue;
};

} // namespace vanillayard

#endif
