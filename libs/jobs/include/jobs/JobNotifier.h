#ifndef VANILLAYARD_JOBS_JOBNOTIFIER_H
#define VANILLAYARD_JOBS_JOBNOTIFIER_H

#include "base/Ids.h"
#include "jobs/JobState.h"

#include <cstdint>

namespace vanillayard {

/// Says that a job record was written. Small enough to be sent to a peer.
struct JobChange {
  JobId Job;
  DataCentreId DataCentre;
  JobState State = JobState::Queued;
  bool CancelRequested = false;
  int64_t ModRevision = 0;
};

/// Tells the planner of a data centre about a written record. Notices may be
/// lost: the planner also lists the records now and then.
class JobNotifier {
public:
  virtual ~JobNotifier() = default;
  virtual void notify(const JobChange &Notice) = 0;
};

} // namespace vanillayard

#endif
