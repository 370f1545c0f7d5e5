#include "Cli.h"
#include "HostLogs.h"
#include "JobStory.h"

#include <fmt/format.h>

#include <fstream>

namespace vanillayard {

using nlohmann::json;

static std::string timeText(absl::Time At) {
  return absl::FormatTime("%Y-%m-%d%ET%H:%M:%E3SZ", At, absl::UTCTimeZone());
}

static json jsonOf(const LogLine &Line) {
  json Fields = json::object();
  for (const auto &[Name, Value] : Line.Fields)
    Fields[Name] = Value;
  return {{"time", timeText(Line.At)}, {"host", Line.Host},
          {"level", Line.Level},       {"component", Line.Component},
          {"message", Line.Message},   {"fields", std::move(Fields)}};
}

static std::string textOf(const LogLine &Line) {
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
      return this->fail(absl::NotFoundError("cannot read " + Args[I]));
    Logs.add(File, Args[I]);
  }
  JobStory Story(Logs.lines(), Args[0]);
  if (this->Options.Json) {
    json Lines = json::array();
    for (const LogLine &Line : Story.lines())
      Lines.push_back(jsonOf(Line));
    json Corrections = json::object();
    for (const auto &[Host, Correction] : Logs.corrections())
      Corrections[Host] = absl::ToDoubleSeconds(Correction);
    this->printJson({{"job", Args[0]},
                     {"lines", std::move(Lines)},
                     {"clock_corrections_seconds", std::move(Corrections)},
                     {"cause", Story.cause()}});
  } else {
    for (const LogLine &Line : Story.lines())
      this->line(textOf(Line));
    this->line("cause: " + Story.cause());
  }
  return Story.lines().empty() ? ExitCode::Failure : ExitCode::Ok;
}

} // namespace vanillayard
