#ifndef VANILLAYARD_CLI_HOSTLOGS_H
#define VANILLAYARD_CLI_HOSTLOGS_H

#include "LogLine.h"

#include <istream>
#include <map>

namespace vanillayard {

/// Merges the logs of several hosts and corrects the differences between their
/// clocks.
///
/// All hosts put a version of the configuration in force within some
/// milliseconds of each other. The difference between the logged times of this
/// event is therefore taken as the difference between two clocks. The times of
/// a log that shares no version with the first log stay unchanged.
class HostLogs {
public:
  /// Adds the log of one process. Takes the host's name from the line "started"
  /// or, if there is none, from \p FallbackName.
  void addLog(std::istream &Text, const std::string &FallbackName);

  /// Returns all lines with corrected times, in order of these times.
  std::vector<LogLine> lines() const;
  /// Returns the correction that is added to the times of each host.
  std::map<std::string, absl::Duration> clockCorrections() const;

private:
  struct ProcessLog {
    std::string Host;
    std::vector<LogLine> Lines;
    /// Time by the host's clock at which each version of the configuration
    /// came into force.
    std::map<std::string, absl::Time> VersionTimes;
  };

  absl::Duration clockCorrection(const ProcessLog &Log) const;

  std::vector<ProcessLog> ProcessLogs;
};

} // namespace vanillayard

#endif
