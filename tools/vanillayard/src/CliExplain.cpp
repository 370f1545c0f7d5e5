#include "Cli.h"
#include "HostLogs.h"
#include "JobExplanation.h"

#include <fmt/format.h>

#include <fstream>

namespace vanillayard {

using nlohmann::json;

static std::string timeText(absl::Time At) {
  return absl::FormatTime("%Y-%m-%d%ET%H:%M:%E3SZ", At, absl::UTCTimeZone());
}

static json lineJson(const LogLine &Line) {
  json Fields = json::object();
  for (const auto &[Name, Value] : Line.Fields)
    Fields[Name] = Value;
  return {{"time", timeText(Line.At)}, {"host", Line.Host},
          {"level", Line.Level},       {"component", Line.Component},
          {"message", Line.Message},   {"fields", std::move(Fields)}};
}

static std::string lineText(const LogLine &Line) {
  std::string Text = fmt::format("{} {} {}: {}", timeText(Line.At), Line.Host,
                                 Line.Component, Line.Message);
  for (const auto &[Name, Value] : Line.Fields)
    Text += fmt::format(" {}={}", Name, Value);
  return Text;
}

ExitCode Cli::explain(const Arguments &Args) {
  HostLogs Logs;
  for (size_t I = 1; I < Args.size(); ++I) {
    std::ifstream File(Args[I]);
    if (!File)
      return this->reportError(absl::NotFoundError("cannot read " + Args[I]));
    Logs.addLog(File, Args[I]);
  }
  JobExplanation Explanation(Logs.lines(), Args[0]);
  if (this->Options.Json) {
    json Lines = json::array();
    for (const LogLine &Line : Explanation.lines())
      Lines.push_back(lineJson(Line));
    json Corrections = json::object();
    for (const auto &[Host, Correction] : Logs.clockCorrections())
      Corrections[Host] = absl::ToDoubleSeconds(Correction);
    this->printJson({{"job", Args[0]},
                     {"lines", std::move(Lines)},
                     {"clock_corrections_seconds", std::move(Corrections)},
                     {"cause", Explanation.cause()}});
  } else {
    for (const LogLine &Line : Explanation.lines())
      this->printLine(lineText(Line));
    this->printLine("cause: " + Explanation.cause());
  }
  return Explanation.lines().empty() ? ExitCode::Failure : ExitCode::Ok;
}

} // namespace vanillayard
