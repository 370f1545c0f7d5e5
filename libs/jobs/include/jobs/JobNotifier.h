#ifndef VANILLAYARD_JOBS_JOBNOTIFIER_H
#define VANILLAYARD_JOBS_JOBNOTIFIER_H

#include "base/Ids.h"
#include "jobs/JobState.h"

#include <cstdint>

namespace vanillayard {

/// Notification that a job record was written. It is sent to other hosts, so
/// it leaves out the job's body and results.
struct JobChange {
  JobId Job;
  DataCentreId DataCentre;
  JobState State = JobState::Queued;
  bool CancelRequested = false;
  int64_t ModRevision = 0;
};

/// Notifies the planner of a data centre of written job records. Notifications
/// may be lost, so the planner also lists all records periodically.
class JobNotifier {
public:
  virtual ~JobNotifier() = default;
  virtual void notify(const JobChange &Notice) = 0;
};

} // namespace vanillayard

#endif
