#ifndef VANILLAYARD_WIRE_JOBMESSAGES_H
#define VANILLAYARD_WIRE_JOBMESSAGES_H

#include "base/Ids.h"

#include <string>

namespace vanillayard {

/// Tells the planner that a job record was written.
struct JobNotice {
  JobId Job;
  /// The record as JSON; empty if the planner must read it from the store.
  std::string Record;

  friend bool operator==(const JobNotice &, const JobNotice &) = default;
};

/// Asks a host for its record of a job.
struct JobQuery {
  JobId Job;

  friend bool operator==(const JobQuery &, const JobQuery &) = default;
};

struct JobReply {
  JobId Job;
  /// The record as JSON; empty if the host does not know the job.
  std::string Record;

  friend bool operator==(const JobReply &, const JobReply &) = default;
};

/// Tells the planner that a job was cancelled.
struct CancelNotice {
  JobId Job;

  friend bool operator==(const CancelNotice &, const CancelNotice &) = default;
};

} // namespace vanillayard

#endif
