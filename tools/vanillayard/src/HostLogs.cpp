#include "HostLogs.h"

#include <algorithm>

namespace vanillayard {

void HostLogs::addLog(std::istream &Text, const std::string &FallbackName) {
  ProcessLog Log;
  Log.Host = FallbackName;
  for (std::string Raw; std::getline(Text, Raw);) {
    std::optional<LogLine> Line = LogLine::parse(Raw);
    if (!Line)
      continue;
    if (Line->hasMessage("host", "started") && !Line->field("host").empty())
      Log.Host = std::string(Line->field("host"));
    if (Line->hasMessage("configuration", "configuration is in force"))
      Log.VersionTimes.emplace(Line->field("version"), Line->At);
    Log.Lines.push_back(*std::move(Line));
  }
  for (LogLine &Line : Log.Lines)
    Line.Host = Log.Host;
  this->ProcessLogs.push_back(std::move(Log));
}

/// Returns the median difference over the shared versions, as a host may put
/// some of them in force late.
absl::Duration HostLogs::clockCorrection(const ProcessLog &Log) const {
  std::vector<absl::Duration> Differences;
  for (const auto &[Version, At] : this->ProcessLogs.front().VersionTimes)
    if (auto Found = Log.VersionTimes.find(Version);
        Found != Log.VersionTimes.end())
      Differences.push_back(At - Found->second);
  if (Differences.empty())
    return absl::ZeroDuration();
  auto Middle =
      Differences.begin() + static_cast<ptrdiff_t>(Differences.size() / 2);
  std::nth_element(Differences.begin(), Middle, Differences.end());
  return *Middle;
}

std::vector<LogLine> HostLogs::lines() const {
  std::vector<LogLine> All;
  for (const ProcessLog &Log : this->ProcessLogs) {
    absl::Duration Correction = this->clockCorrection(Log);
    for (LogLine Line : Log.Lines) {
      Line.At += Correction;
      All.push_back(std::move(Line));
    }
  }
  std::stable_sort(
      All.begin(), All.end(),
      [](const LogLine &A, const LogLine &B) { return A.At < B.At; });
  return All;
}

std::map<std::string, absl::Duration> HostLogs::clockCorrections() const {
  std::map<std::string, absl::Duration> ByHost;
  for (const ProcessLog &Log : this->ProcessLogs)
    ByHost.emplace(Log.Host, this->clockCorrection(Log));
  return ByHost;
}

} // namespace vanillayard
