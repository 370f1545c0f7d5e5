#ifndef VANILLAYARD_CONTROL_LOADEDRECORDS_H
#define VANILLAYARD_CONTROL_LOADEDRECORDS_H

#include "JobRemoval.h"
#include "base/Ids.h"
#include "fleet/BatchJob.h"
#include "fleet/JobProgress.h"
#include "fleet/WorkerRegistration.h"

#include <cstdint>
#include <vector>

namespace vanillayard {

/// Records and registrations that a new leader starts from.
struct LoadedRecords {
  struct LoadedJob {
    BatchJob Job;
    JobProgress Progress;
    int64_t JobRevision = 0;
    int64_t ProgressRevision = 0;
  };

  std::vector<LoadedJob> Jobs;
  /// Finished jobs whose deletion an earlier leader did not complete.
  std::vector<JobRemoval> DeletedInPart;
  std::vector<JobId> Cancelled;
  /// Workers that may have runs of an earlier leader.
  std::vector<WorkerId> RecordedWorkers;
  /// Revision of the record of workers; 0 if there is none.
  int64_t WorkersRevision = 0;
  /// Workers that are registered.
  std::vector<WorkerRegistration> Workers;
  /// Store revision from which the job records are watched.
  int64_t JobRevision = 0;
};

} // namespace vanillayard

#endif
