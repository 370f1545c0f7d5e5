#include "config/Settings.h"
#include "daemon/Daemon.h"
#include "net/LoopExecutor.h"
#include "platform/PlatformHost.h"

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"

#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

ABSL_FLAG(std::string, settings, "", "path of the settings file (JSON)");
ABSL_FLAG(bool, check, false, "validate the settings and exit");
ABSL_FLAG(bool, platform, false,
          "run on the users' platform and read its settings file");

using namespace vanillayard;

static constexpr int ExitUsage = 2;

static absl::StatusOr<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return absl::NotFoundError("cannot read " + Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

static int reportError(const absl::Status &Status, int Code) {
  fmt::print(stderr, "vanillayardd: {}\n", std::string(Status.message()));
  return Code;
}

static int runHost(const Settings &Options) {
  LoopExecutor Loop;
  absl::StatusOr<std::unique_ptr<Daemon>> Host = Daemon::create(Loop, Options);
  if (!Host.ok())
    return reportError(Host.status(), EXIT_FAILURE);
  fmt::print("listening {} caller\nlistening {} admin\nlistening {} peer\n",
             (*Host)->callerAddress().str(), (*Host)->adminAddress().str(),
             (*Host)->peerAddress().str());
  std::fflush(stdout);
  auto Stop = [&] { (*Host)->shutDown([&] { Loop.stop(); }); };
  Loop.onSignal(SIGTERM, Stop);
  Loop.onSignal(SIGINT, Stop);
  Loop.run();
  return EXIT_SUCCESS;
}

int main(int ArgCount, char **Args) {
  std::signal(SIGPIPE, SIG_IGN);
  absl::SetProgramUsageMessage(
      "vanillayardd (--settings=FILE | --platform) [--check]: runs one entry "
      "host.");
  absl::ParseCommandLine(ArgCount, Args);
  if (absl::GetFlag(FLAGS_platform))
    return runPlatformHost(absl::GetFlag(FLAGS_check));
  std::string Path = absl::GetFlag(FLAGS_settings);
  if (Path.empty())
    return reportError(absl::InvalidArgumentError("--settings is required"),
                       ExitUsage);
  absl::StatusOr<std::string> Text = readFile(Path);
  if (!Text.ok())
    return reportError(Text.status(), EXIT_FAILURE);
  absl::StatusOr<Settings> Options = Settings::parse(*Text);
  if (!Options.ok())
    return reportError(Options.status(), EXIT_FAILURE);
  if (absl::GetFlag(FLAGS_check)) {
    fmt::print("{}: valid\n", Path);
    return EXIT_SUCCESS;
  }
  return runHost(*Options);
}
