#ifndef VANILLAYARD_SCHEDULER_PROGRESSCHANGE_H
#define VANILLAYARD_SCHEDULER_PROGRESSCHANGE_H

#include "base/Ids.h"
#include "fleet/BatchState.h"

#include <cstdint>
#include <string>

namespace vanillayard {

/// A changed progress record that has to be written to the store.
struct ProgressChange {
  JobId Job;
  std::string Record;
  /// The job is in a final state; the scheduler removes it once this record is
  /// written and its runs have ended.
  bool IsFinal = false;
  BatchState State = BatchState::Queued;
  /// Name of the job's queue.
  std::string Queue;
  /// Version of the job's placements that the record holds.
  int64_t PlacementVersion = 0;
};

} // namespace vanillayard

#endif
