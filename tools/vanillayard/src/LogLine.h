#ifndef VANILLAYARD_CLI_LOGLINE_H
#define VANILLAYARD_CLI_LOGLINE_H

#include "absl/time/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace vanillayard {

/// One line of a host's log, as Log writes it.
struct LogLine {
  /// By the host's clock, until the reader corrects it.
  absl::Time At;
  /// The host whose log it is from.
  std::string Host;
  std::string Level;
  std::string Component;
  std::string Message;
  std::vector<std::pair<std::string, std::string>> Fields;

  /// Value of a field; empty if the line does not have it.
  std::string_view field(std::string_view Name) const;
  bool is(std::string_view ComponentName, std::string_view Text) const {
    return this->Component == ComponentName && this->Message == Text;
  }

  /// Empty for text that is not a line of a log.
  static std::optional<LogLine> parse(std::string_view Text);
};

} // namespace vanillayard

#endif
