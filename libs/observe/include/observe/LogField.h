#ifndef VANILLAYARD_OBSERVE_LOGFIELD_H
#define VANILLAYARD_OBSERVE_LOGFIELD_H

#include "base/StrongId.h"

#include "absl/status/status.h"
#include "absl/time/time.h"

#include <concepts>
#include <string>
#include <string_view>

namespace vanillayard {

/// One key=value pair of a log line.
class LogField {
public:
  LogField(std::string_view Name, std::string_view Value);
  LogField(std::string_view Name, const char *Value);
  LogField(std::string_view Name, const std::string &Value);
  LogField(std::string_view Name, bool Value);
  LogField(std::string_view Name, double Value);
  LogField(std::string_view Name, absl::Duration Value);
  /// Formatted in UTC.
  LogField(std::string_view Name, absl::Time Value);
  /// Formatted as the error kind or status code, then the message.
  LogField(std::string_view Name, const absl::Status &Value);
  template <typename Tag>
  LogField(std::string_view Name, const StrongId<Tag> &Value)
      : LogField(Name, std::string_view(Value.str())) {}
  template <std::integral Number>
  LogField(std::string_view Name, Number Value)
      : Name(Name), Value(std::to_string(Value)) {}

  std::string_view name() const { return this->Name; }
  std::string_view value() const { return this->Value; }

private:
  std::string_view Name;
  std::string Value;
};

} // namespace vanillayard

#endif
