#ifndef VANILLAYARD_CLI_LOGLINE_H
#define VANILLAYARD_CLI_LOGLINE_H

#include "absl/time/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace vanillayard {

/// One parsed line of a host's log, in the format that Log writes.
struct LogLine {
  /// By the host's clock, until HostLogs corrects it.
  absl::Time At;
  /// The host that wrote the line.
  std::string Host;
  std::string Level;
  std::string Component;
  std::string Message;
  std::vector<std::pair<std::string, std::string>> Fields;

  /// Returns the value of a field, or an empty text if there is no such field.
  std::string_view field(std::string_view Name) const;
  bool hasMessage(std::string_view ComponentName,
                  std::string_view MessageText) const {
    return this->Component == ComponentName && this->Message == MessageText;
  }

  /// Parses a line. Returns nothing if \p Text is not a log line.
  static std::optional<LogLine> parse(std::string_view MessageText);
};

} // namespace vanillayard

#endif
