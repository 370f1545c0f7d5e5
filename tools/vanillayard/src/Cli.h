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

/// Implements the commands of the operators' command-line tool.
class Cli {
public:
  using Arguments = std::vector<std::string>;

  Cli(LoopExecutor &Loop, CliOptions Options);

  /// Runs a command, such as {"job", "show", "j1"}. Prints the help text and
  /// returns Usage if there is no such command.
  ExitCode run(const Arguments &Words);

  /// Returns the help text of the command that \p Words start with, or the
  /// list of commands.
  static std::string helpText(const Arguments &Words);

private:
  struct Command;
  static std::span<const Command> commands();
  static const Command *findCommand(const Arguments &Words);

  // Handlers of the commands. \p Args are the words after the command's name.
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

  /// Sends a GET request to every host and calls \p Handle with each JSON
  /// answer. Returns the exit code of the last host that failed, such as
  /// Unavailable, or Ok.
  ExitCode forEachHost(
      const std::string &Path,
      const std::function<void(const Endpoint &, const nlohmann::json &)>
          &Handle);
  /// Runs \p Call for each host in order until one is available. Returns its
  /// answer or error, or the error of the last host.
  absl::StatusOr<nlohmann::json> callAnyHost(
      const std::function<absl::StatusOr<nlohmann::json>(const Endpoint &)>
          &Call);
  ExitCode setWorkerDraining(const std::string &Worker, bool Draining);

  absl::StatusOr<ConfigurationWriter::StoredConfiguration> readStored();
  ExitCode
  writeConfiguration(Configuration New,
                     const ConfigurationWriter::StoredConfiguration &Base);
  ExitCode waitUntilInForce(int64_t Generation);

  ExitCode reportError(const absl::Status &Status);
  void printLine(const std::string &Text);
  void printJson(const nlohmann::json &Document);

  LoopExecutor &Loop;
  CliOptions Options;
  H2oHttpClient Http;
  AdminClient HostClient;
  EtcdStore PlatformStore;
  ConfigurationWriter Writer;
};

} // namespace vanillayard

#endif
