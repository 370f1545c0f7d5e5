#ifndef VANILLAYARD_DAEMON_JOBLOOKUP_H
#define VANILLAYARD_DAEMON_JOBLOOKUP_H

#include "base/Ids.h"
#include "jobs/JobRecord.h"

#include "absl/status/statusor.h"

#include <functional>

namespace vanillayard {

/// Port for finding a job without the platform's store.
class JobLookup {
public:
  using Callback = std::function<void(absl::StatusOr<JobRecord>)>;

  virtual ~JobLookup() = default;

  /// Asks the planners that can be reached. \p Done runs once, on the
  /// executor. Error: NotFound if none of them knows the job, which does not
  /// prove that there is no such job.
  virtual void find(const JobId &Id, Callback Done) = 0;
};

} // namespace vanillayard

#endif
