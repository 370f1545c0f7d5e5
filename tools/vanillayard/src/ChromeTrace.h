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
  /// Adds events as JSON lines. Lines that are no events are counted and left
  /// out.
  void addLines(std::string_view Lines);

  size_t eventCount() const { return this->Events.size(); }
  size_t refusedLines() const { return this->Refused; }

  /// The whole document. Times are microseconds since the first event; events
  /// of one microsecond are set apart by their logical time.
  nlohmann::json document() const;

private:
  std::vector<nlohmann::json> Events;
  size_t Refused = 0;
};

} // namespace vanillayard

#endif
