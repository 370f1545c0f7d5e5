#include "Cli.h"
#include "net/LoopExecutor.h"

#include "absl/flags/flag.h"
#include "absl/flags/reflection.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <optional>

ABSL_FLAG(std::vector<std::string>, admin, {"127.0.0.1:8081"},
          "admin addresses of the hosts");
ABSL_FLAG(std::string, platform, "127.0.0.1:2379",
          "address of the platform's key-value service");
ABSL_FLAG(bool, json, false, "print JSON");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(5), "timeout of one call");
ABSL_FLAG(absl::Duration, wait, absl::Seconds(30),
          "how long to wait until a change is in force");

using namespace vanillayard;

namespace {

struct CommandLine {
  Cli::Arguments Words;
  std::string AdminAddresses;
  bool Help = false;
  /// Describes the first invalid flag; empty if all flags are valid.
  std::string UsageError;
};

} // namespace

// Abseil's parser exits with code 1 on an invalid flag and keeps only the last
// of several --admin flags. Therefore this program splits the command line and
// passes each value to its Abseil flag.
static void parseFlag(const std::string &Name,
                      const std::optional<std::string> &Value,
                      CommandLine &Line) {
  if (Name == "admin" && Value) {
    Line.AdminAddresses += (Line.AdminAddresses.empty() ? "" : ",") + *Value;
    return;
  }
  absl::CommandLineFlag *Flag = absl::FindCommandLineFlag(Name);
  std::string Error;
  if (!Flag)
    Line.UsageError = "unknown flag --" + Name;
  else if (!Flag->ParseFrom(Value.value_or("true"), &Error))
    Line.UsageError = fmt::format("--{}: {}", Name, Error);
}

static CommandLine parseCommandLine(const Cli::Arguments &Given) {
  CommandLine Line;
  for (size_t I = 0; I < Given.size() && Line.UsageError.empty(); ++I) {
    const std::string &Word = Given[I];
    if (Word == "--help" || Word == "-h") {
      Line.Help = true;
      continue;
    }
    if (Word.rfind("--", 0) != 0) {
      Line.Words.push_back(Word);
      continue;
    }
    size_t Equals = Word.find('=');
    std::string Name = Word.substr(2, Equals - 2);
    std::optional<std::string> Value;
    if (Equals != std::string::npos)
      Value = Word.substr(Equals + 1);
    else if (Name != "json" && I + 1 < Given.size())
      Value = Given[++I];
    if (!Value && Name != "json")
      Line.UsageError = "--" + Name + " is unknown or has no value";
    else
      parseFlag(Name, Value, Line);
  }
  std::string Error;
  if (!Line.AdminAddresses.empty() &&
      !absl::FindCommandLineFlag("admin")->ParseFrom(Line.AdminAddresses,
                                                     &Error))
    Line.UsageError = "--admin: " + Error;
  return Line;
}

int main(int ArgCount, char **Args) {
  std::signal(SIGPIPE, SIG_IGN);
  CommandLine Line =
      parseCommandLine(Cli::Arguments(Args + 1, Args + ArgCount));
  if (!Line.UsageError.empty()) {
    fmt::print(stderr, "vanillayard: {}\n{}", Line.UsageError,
               Cli::helpText(Line.Words));
    return static_cast<int>(ExitCode::Usage);
  }
  if (Line.Help) {
    fmt::print("{}", Cli::helpText(Line.Words));
    return static_cast<int>(ExitCode::Ok);
  }
  CliOptions Options;
  for (const std::string &Address : absl::GetFlag(FLAGS_admin))
    Options.AdminAddresses.emplace_back(Address);
  Options.Platform = Endpoint(absl::GetFlag(FLAGS_platform));
  Options.Json = absl::GetFlag(FLAGS_json);
  Options.CallTimeout = absl::GetFlag(FLAGS_timeout);
  Options.WaitLimit = absl::GetFlag(FLAGS_wait);
  Options.Output = [](const std::string &Text) { fmt::print("{}", Text); };
  Options.ErrorOutput = [](const std::string &Text) {
    fmt::print(stderr, "{}", Text);
  };
  LoopExecutor Loop;
  return static_cast<int>(Cli(Loop, Options).run(Line.Words));
}
