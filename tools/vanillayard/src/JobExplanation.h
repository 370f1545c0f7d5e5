#ifndef VANILLAYARD_CLI_JOBEXPLANATION_H
#define VANILLAYARD_CLI_JOBEXPLANATION_H

#include "LogLine.h"

namespace vanillayard {

/// Selects the log lines of all hosts that concern one job, and determines why
/// the job failed or was late.
class JobExplanation {
public:
  /// Shorter waits of a task for its start are not explained: a preemption
  /// alone can take as long as the platform allows for a stop.
  static constexpr absl::Duration NotableWait = absl::Milliseconds(250);

  /// \param All lines of all hosts, in order of time.
  JobExplanation(const std::vector<LogLine> &All, const std::string &Job);

  /// Lines that name the job, and those of the leader's role and of the store
  /// that fall between them.
  const std::vector<LogLine> &lines() const { return this->Lines; }
  /// Returns the cause of the failure or delay in one sentence.
  const std::string &cause() const { return this->Cause; }

private:
  std::string findCause() const;
  std::string explainUnscheduled() const;
  std::string explainFailure(const LogLine &JobEnd) const;
  std::string explainWait() const;
  const LogLine *findLast(std::string_view Component,
                          std::string_view Message) const;

  std::string Job;
  std::vector<LogLine> Lines;
  std::string Cause;
};

} // namespace vanillayard

#endif
