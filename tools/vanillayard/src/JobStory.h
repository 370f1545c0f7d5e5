#ifndef VANILLAYARD_CLI_JOBSTORY_H
#define VANILLAYARD_CLI_JOBSTORY_H

#include "LogLine.h"

namespace vanillayard {

/// What the logs of all hosts say of one job, and what made it fail or late.
class JobStory {
public:
  /// A wait of a task for its start that is shorter than this needs no
  /// explanation; a preemption alone takes up to the platform's time for a
  /// stop.
  static constexpr absl::Duration NotableWait = absl::Milliseconds(250);

  /// \param All lines of all hosts, in order of time.
  JobStory(const std::vector<LogLine> &All, const std::string &Job);

  /// Lines that name the job, and those of the leader's role and of the store
  /// that fall between them.
  const std::vector<LogLine> &lines() const { return this->Story; }
  /// One sentence.
  const std::string &cause() const { return this->Cause; }

private:
  std::string explain() const;
  std::string explainRefusal() const;
  std::string explainFailure(const LogLine &Over) const;
  std::string explainWait() const;
  const LogLine *last(std::string_view Component,
                      std::string_view Message) const;

  std::string Job;
  std::vector<LogLine> Story;
  std::string Cause;
};

} // namespace vanillayard

#endif
