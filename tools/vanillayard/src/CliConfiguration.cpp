#include "Cli.h"

#include "base/ErrorKind.h"
#include "config/ConfigurationCodec.h"
#include "config/ConfigurationDiff.h"
#include "net/LoopExecutor.h"

#include <fmt/format.h>

#include <fstream>
#include <sstream>
#include <utility>

namespace vanillayard {

using nlohmann::json;

/// Interval between polls of the hosts until a change is in force on all.
static constexpr absl::Duration PollInterval = absl::Milliseconds(100);

static absl::StatusOr<Configuration> readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return makeError(ErrorKind::InvalidRequest, "cannot read " + Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return ConfigurationCodec::decode(Text.str());
}

absl::StatusOr<ConfigurationWriter::StoredConfiguration> Cli::readStored() {
  absl::StatusOr<ConfigurationWriter::StoredConfiguration> Result =
      absl::UnknownError("the store sent no answer");
  this->Writer.read(
      [&](absl::StatusOr<ConfigurationWriter::StoredConfiguration> Answer) {
        Result = std::move(Answer);
        this->Loop.stop();
      });
  this->Loop.run();
  return Result;
}

static absl::Status noConfiguration() {
  return makeError(ErrorKind::NotFound,
                   "the platform's service holds no configuration");
}

ExitCode Cli::configurationShow(const Arguments &) {
  auto Stored = this->readStored();
  if (!Stored.ok())
    return this->reportError(Stored.status());
  if (!Stored->Config)
    return this->reportError(noConfiguration());
  this->Options.Output(ConfigurationCodec::encode(*Stored->Config));
  return ExitCode::Ok;
}

ExitCode Cli::configurationCheck(const Arguments &Args) {
  absl::StatusOr<Configuration> Config = readFile(Args[0]);
  if (!Config.ok())
    return this->reportError(Config.status());
  this->printLine(fmt::format("{}: valid, {} accounts, {} kinds, {} presets",
                              Args[0], Config->Accounts.size(),
                              Config->Kinds.size(), Config->Presets.size()));
  return ExitCode::Ok;
}

ExitCode Cli::configurationDiff(const Arguments &Args) {
  absl::StatusOr<Configuration> Config = readFile(Args[0]);
  if (!Config.ok())
    return this->reportError(Config.status());
  auto Stored = this->readStored();
  if (!Stored.ok())
    return this->reportError(Stored.status());
  if (!Stored->Config)
    return this->reportError(noConfiguration());
  std::vector<std::string> Lines =
      ConfigurationDiff::compare(*Stored->Config, *Config);
  if (this->Options.Json)
    this->printJson(Lines);
  else if (Lines.empty())
    this->printLine("no difference");
  else
    for (const std::string &Line : Lines)
      this->printLine(Line);
  return ExitCode::Ok;
}

ExitCode Cli::configurationApply(const Arguments &Args) {
  absl::StatusOr<Configuration> Config = readFile(Args[0]);
  if (!Config.ok())
    return this->reportError(Config.status());
  auto Stored = this->readStored();
  if (!Stored.ok())
    return this->reportError(Stored.status());
  if (Stored->Config && Stored->Config->Generation != Config->Generation)
    return this->reportError(makeError(
        ErrorKind::Conflict,
        fmt::format("{} was made from generation {}, but generation {} is in "
                    "the store; nothing was written",
                    Args[0], Config->Generation, Stored->Config->Generation)));
  return this->writeConfiguration(std::move(*Config), *Stored);
}

ExitCode Cli::presetShow(const Arguments &) {
  auto Stored = this->readStored();
  if (!Stored.ok())
    return this->reportError(Stored.status());
  if (!Stored->Config)
    return this->reportError(noConfiguration());
  const Configuration &Config = *Stored->Config;
  if (this->Options.Json) {
    json Names = json::array();
    for (const Preset &Entry : Config.Presets)
      Names.push_back(Entry.Name.str());
    this->printJson({{"preset", Config.PresetInForce.str()},
                     {"presets", Names},
                     {"generation", Config.Generation}});
    return ExitCode::Ok;
  }
  for (const Preset &Entry : Config.Presets)
    this->printLine(fmt::format("{} {}",
                                Entry.Name == Config.PresetInForce ? "*" : " ",
                                Entry.Name.str()));
  return ExitCode::Ok;
}

ExitCode Cli::presetSet(const Arguments &Args) {
  auto Stored = this->readStored();
  if (!Stored.ok())
    return this->reportError(Stored.status());
  if (!Stored->Config)
    return this->reportError(noConfiguration());
  Configuration New = *Stored->Config;
  New.PresetInForce = PresetId(Args[0]);
  return this->writeConfiguration(std::move(New), *Stored);
}

ExitCode
Cli::writeConfiguration(Configuration New,
                        const ConfigurationWriter::StoredConfiguration &Base) {
  if (Base.Config) {
    std::vector<std::string> Lines =
        ConfigurationDiff::compare(*Base.Config, New);
    for (const std::string &Line : Lines)
      this->Options.ErrorOutput(Line + "\n");
    if (Lines.empty()) {
      this->Options.ErrorOutput("no difference; nothing was written\n");
      return this->waitUntilInForce(Base.Config->Generation);
    }
  }
  absl::StatusOr<Configuration> Result =
      absl::UnknownError("the store sent no answer");
  this->Writer.apply(std::move(New), Base,
                     [&](absl::StatusOr<Configuration> Answer) {
                       Result = std::move(Answer);
                       this->Loop.stop();
                     });
  this->Loop.run();
  if (!Result.ok())
    return this->reportError(Result.status());
  this->Options.ErrorOutput(
      fmt::format("generation {} is accepted\n", Result->Generation));
  return this->waitUntilInForce(Result->Generation);
}

ExitCode Cli::waitUntilInForce(int64_t Generation) {
  absl::Time End = this->Loop.now() + this->Options.WaitLimit;
  std::vector<Endpoint> Remaining = this->Options.AdminAddresses;
  size_t LastRemaining = Remaining.size() + 1;
  while (true) {
    std::erase_if(Remaining, [&](const Endpoint &Host) {
      absl::StatusOr<json> Answer =
          this->HostClient.getJson(Host, "/v1/admin/status");
      return Answer.ok() && Answer->is_object() &&
             Answer->contains("generation") &&
             (*Answer)["generation"].is_number_integer() &&
             (*Answer)["generation"].get<int64_t>() >= Generation;
    });
    if (std::exchange(LastRemaining, Remaining.size()) != Remaining.size())
      this->Options.ErrorOutput(fmt::format(
          "generation {} is in force on {} of {} hosts\n", Generation,
          this->Options.AdminAddresses.size() - Remaining.size(),
          this->Options.AdminAddresses.size()));
    if (Remaining.empty())
      break;
    if (this->Loop.now() >= End)
      return this->reportError(makeError(
          ErrorKind::PlatformUnavailable,
          fmt::format("generation {} is accepted, but {} has not got it",
                      Generation, Remaining.front().str())));
    this->Loop.runAfter(PollInterval, [this] { this->Loop.stop(); });
    this->Loop.run();
  }
  if (this->Options.Json)
    this->printJson({{"generation", Generation}});
  else
    this->printLine(fmt::format("generation {} is in force", Generation));
  return ExitCode::Ok;
}

} // namespace vanillayard
