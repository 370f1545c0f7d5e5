#ifndef VANILLAYARD_DAEMON_JOBLOOKUP_H
#define VANILLAYARD_DAEMON_JOBLOOKUP_H

#include "base/Ids.h"
#include "jobs/JobRecord.h"

#include "absl/status/statusor.h"

#include <functional>

namespace vanillayard {

/// Port for reading a job's record from the planners instead of the platform's
/// store.
class JobLookup {
public:
  using Callback = std::function<void(absl::StatusOr<JobRecord>)>;

  virtual ~JobLookup() = default;

  /// Queries the reachable planners. \p Done runs once, on the executor.
  /// Error: NotFound if none of them knows the job; the job may still exist.
  virtual void find(const JobId &Id, Callback Done) = 0;
};

} // namespace vanillayard

#endif
