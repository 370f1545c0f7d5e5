#ifndef VANILLAYARD_CLI_HOSTLOGS_H
#define VANILLAYARD_CLI_HOSTLOGS_H

#include "LogLine.h"

#include <istream>
#include <map>

namespace vanillayard {

/// Logs of several hosts on one time axis.
///
/// Clocks are compared by the moments at which hosts put the same version of
/// the configuration in force, which is the same moment for all of them to
/// within some milliseconds. A host that shares no version with the first log
/// keeps its own time.
class HostLogs {
public:
  /// Adds the log of one process. The host is named by its first line, or
  /// called \p FallbackName.
  void add(std::istream &Text, const std::string &FallbackName);

  /// All lines in order of their corrected times.
  std::vector<LogLine> lines() const;
  /// What is added to the times of each host.
  std::map<std::string, absl::Duration> corrections() const;

private:
  struct Process {
    std::string Host;
    std::vector<LogLine> Lines;
    /// When each version of the configuration came into force.
    std::map<std::string, absl::Time> Versions;
  };

  absl::Duration correctionOf(const Process &Log) const;

  std::vector<Process> Processes;
};

} // namespace vanillayard

#endif
