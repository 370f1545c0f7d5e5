#ifndef VANILLAYARD_CLI_CHROMETRACE_H
#define VANILLAYARD_CLI_CHROMETRACE_H

#include <nlohmann/json.hpp>

#include <string_view>
#include <vector>

namespace vanillayard {

/// Collects the timelines of several hosts and writes them in the Chrome trace
/// event format: one process for each host, one thread for each subject,
/// ordered by the hybrid logical clock.
class ChromeTrace {
public:
  /// Adds events, one JSON object per line. Counts and skips lines that are not
  /// events.
  void addLines(std::string_view Lines);

  size_t eventCount() const { return this->Events.size(); }
  size_t invalidLineCount() const { return this->InvalidLines; }

  /// Returns the trace document. Times are in microseconds since the first
  /// event. The logical time, scaled to a fraction of a microsecond, separates
  /// events of the same microsecond.
  nlohmann::json document() const;

private:
  std::vector<nlohmann::json> Events;
  size_t InvalidLines = 0;
};

} // namespace vanillayard

#endif
