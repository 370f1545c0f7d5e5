#ifndef VANILLAYARD_CLI_CLI_H
#define VANILLAYARD_CLI_CLI_H

#include "AdminClient.h"
#include "CliOptions.h"
#include "ExitCode.h"

#include "config/Configuration.h"
#include "configsync/ConfigurationWriter.h"
#include "net/H2oHttpClient.h"
#include "store/EtcdStore.h"

#include <nlohmann/json.hpp>

#include <span>
#include <string>
#include <vector>

namespace vanillayard {

/// The operators' commands.
class Cli {
public:
  using Arguments = std::vector<std::string>;

  Cli(LoopExecutor &Loop, CliOptions Options);

  /// Runs a command, such as {"job", "show", "j1"}.
  ExitCode run(const Arguments &Words);

  /// Help for the command that \p Words begin with, or for all commands.
  static std::string help(const Arguments &Words);

private:
  struct Command;
  static std::span<const Command> commands();
  static const Command *find(const Arguments &Words);

  ExitCode status(const Arguments &Args);
  ExitCode metrics(const Arguments &Args);
  ExitCode warnings(const Arguments &Args);
  ExitCode timeline(const Arguments &Args);
  ExitCode drainHost(const Arguments &Args);
  ExitCode drainWorker(const Arguments &Args);
  ExitCode undrainWorker(const Arguments &Args);
  ExitCode jobList(const Arguments &Args);
  ExitCode jobShow(const Arguments &Args);
  ExitCode jobCancel(const Arguments &Args);
  ExitCode presetShow(const Arguments &Args);
  ExitCode presetSet(const Arguments &Args);
  ExitCode configurationShow(const Arguments &Args);
  ExitCode configurationCheck(const Arguments &Args);
  ExitCode configurationDiff(const Arguments &Args);
  ExitCode configurationApply(const Arguments &Args);
  ExitCode explain(const Arguments &Args);

  /// Calls \p Handle with the answer of every host. Returns Unavailable if one
  /// of them did not answer.
  ExitCode forEachHost(
      const std::string &Path,
      const std::function<void(const Endpoint &, const nlohmann::json &)>
          &Handle);
  /// Calls hosts in turn until one answers.
  absl::StatusOr<nlohmann::json> askAnyHost(
      const std::function<absl::StatusOr<nlohmann::json>(const Endpoint &)>
          &Call);
  ExitCode setWorkerDraining(const std::string &Worker, bool Draining);

  absl::StatusOr<ConfigurationWriter::StoredConfiguration> readStored();
  ExitCode write(Configuration New,
                 const ConfigurationWriter::StoredConfiguration &Base);
  ExitCode waitUntilInForce(int64_t Generation);

  ExitCode fail(const absl::Status &Status);
  void line(const std::string &Text);
  void printJson(const nlohmann::json &Document);

  LoopExecutor &Loop;
  CliOptions Options;
  H2oHttpClient Http;
  AdminClient Hosts;
  EtcdStore Platform;
  ConfigurationWriter Writer;
};

} // namespace vanillayard

#endif
