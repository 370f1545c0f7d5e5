#include "standin_platform/PlatformFaults.h"

#include "GatewayJson.h"

#include <set>

namespace vanillayard {

using nlohmann::json;

static bool flagOf(const json &Object, const char *Name, bool Default) {
  auto Found = Object.find(Name);
  return Found == Object.end() || !Found->is_boolean() ? Default
                                                       : Found->get<bool>();
}

absl::StatusOr<PlatformFaults> PlatformFaults::parse(std::string_view Text) {
  static const std::set<std::string> Known = {
      "mode",  "delay_ms",      "count",          "revisions",
      "hosts", "break_watches", "silence_watches"};
  json Document = json::parse(Text, nullptr, /*allow_exceptions=*/false);
  if (!Document.is_object())
    return absl::InvalidArgumentError("the body is not a JSON object");
  for (const auto &[Name, Value] : Document.items())
    if (!Known.count(Name))
      return absl::InvalidArgumentError(Name + ": is not a known property");
  PlatformFaults Result;
  auto Mode = PlatformModeNames.parse(textOf(Document, "mode"));
  if (!Mode)
    return absl::InvalidArgumentError(
        "mode: must be one of up, down, hang, slow, lose_answers, stale");
  Result.Mode = *Mode;
  if (Document.contains("delay_ms"))
    Result.Delay = absl::Milliseconds(numberOf(Document, "delay_ms"));
  Result.LoseCount = numberOf(Document, "count");
  if (Document.contains("revisions"))
    Result.StaleRevisions = numberOf(Document, "revisions");
  Result.IncludesHostList = flagOf(Document, "hosts", true);
  Result.BreakWatches = flagOf(Document, "break_watches", false);
  Result.SilenceWatches = flagOf(Document, "silence_watches", false);
  return Result;
}

} // namespace vanillayard
