#include "HostLogs.h"

#include <algorithm>

namespace vanillayard {

void HostLogs::add(std::istream &Text, const std::string &FallbackName) {
  Process Log;
  Log.Host = FallbackName;
  for (std::string Raw; std::getline(Text, Raw);) {
    std::optional<LogLine> Line = LogLine::parse(Raw);
    if (!Line)
      continue;
    if (Line->is("host", "started") && !Line->field("host").empty())
      Log.Host = std::string(Line->field("host"));
    if (Line->is("configuration", "configuration is in force"))
      Log.Versions.emplace(Line->field("version"), Line->At);
    Log.Lines.push_back(*std::move(Line));
  }
  for (LogLine &Line : Log.Lines)
    Line.Host = Log.Host;
  this->Processes.push_back(std::move(Log));
}

/// The median over the shared versions, as one host may be late for some.
absl::Duration HostLogs::correctionOf(const Process &Log) const {
  std::vector<absl::Duration> Differences;
  for (const auto &[Version, At] : this->Processes.front().Versions)
    if (auto Found = Log.Versions.find(Version); Found != Log.Versions.end())
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
  for (const Process &Log : this->Processes) {
    absl::Duration Correction = this->correctionOf(Log);
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

std::map<std::string, absl::Duration> HostLogs::corrections() const {
  std::map<std::string, absl::Duration> ByHost;
  for (const Process &Log : this->Processes)
    ByHost.emplace(Log.Host, this->correctionOf(Log));
  return ByHost;
}

} // namespace vanillayard
