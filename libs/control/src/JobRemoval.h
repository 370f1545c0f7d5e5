#ifndef VANILLAYARD_CONTROL_JOBREMOVAL_H
#define VANILLAYARD_CONTROL_JOBREMOVAL_H

#include "base/Ids.h"

#include <cstdint>

namespace vanillayard {

/// Deletion of all records of one job.
struct JobRemoval {
  JobId Id;
  /// Revision of the job's record that the deletion was decided from.
  int64_t JobRevision = 0;
  /// False if only the job's record was found, without one of its progress.
  bool HasProgress = true;
};

} // namespace vanillayard

#endif
