#include "observe/LogField.h"

#include "base/AbslView.h"
#include "base/ErrorKind.h"

#include <fmt/format.h>

namespace vanillayard {

LogField::LogField(std::string_view Name, std::string_view Value)
    : Name(Name), Value(Value) {}

LogField::LogField(std::string_view Name, const char *Value)
    : Name(Name), Value(Value) {}

LogField::LogField(std::string_view Name, const std::string &Value)
    : Name(Name), Value(Value) {}

LogField::LogField(std::string_view Name, bool Value)
    : Name(Name), Value(Value ? "true" : "false") {}

LogField::LogField(std::string_view Name, double Value)
    : Name(Name), Value(fmt::format("{:.6g}", Value)) {}

LogField::LogField(std::string_view Name, absl::Duration Value)
    : Name(Name), Value(absl::FormatDuration(Value)) {}

LogField::LogField(std::string_view Name, absl::Time Value)
    : Name(Name), Value(absl::FormatTime("%Y-%m-%d%ET%H:%M:%E6SZ", Value,
                                         absl::UTCTimeZone())) {}

static std::string describe(const absl::Status &Status) {
  if (Status.ok())
    return "OK";
  std::string_view Message = stdView(Status.message());
  ErrorKind Kind = errorKindOf(Status);
  if (Kind != ErrorKind::Internal)
    return fmt::format("{}: {}", errorKindInfo(Kind).Name, Message);
  return fmt::format("{}: {}", absl::StatusCodeToString(Status.code()),
                     Message);
}

LogField::LogField(std::string_view Name, const absl::Status &Value)
    : Name(Name), Value(describe(Value)) {}

} // namespace vanillayard
