#include "Cli.h"
#include "net/LoopExecutor.h"

#include "absl/flags/flag.h"
#include "absl/flags/reflection.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <optional>

ABSL_FLAG(std::vector<std::string>, admin, {"127.0.0.1:8081"},
          "admin addresses of hosts");
ABSL_FLAG(std::string, platform, "127.0.0.1:2379", "key-value service");
ABSL_FLAG(bool, json, false, "output for programs");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(5), "time for one call");
ABSL_FLAG(absl::Duration, wait, absl::Seconds(30),
          "time for a change to be in force");

using namespace vanillayard;

namespace {

struct CommandLine {
  Cli::Arguments Words;
  std::string Admins;
  bool Help = false;
  /// Why the flags are wrong; empty if they are not.
  std::string Fault;
};

} // namespace

// Abseil's own parser ends the process with code 1 for a wrong flag and keeps
// only the last of several --admin, so the arguments are passed to its flags
// one at a time.
static void parseFlag(const std::string &Name,
                      const std::optional<std::string> &Value,
                      CommandLine &Line) {
  if (Name == "admin" && Value) {
    Line.Admins += (Line.Admins.empty() ? "" : ",") + *Value;
    return;
  }
  absl::CommandLineFlag *Flag = absl::FindCommandLineFlag(Name);
  std::string Error;
  if (!Flag)
    Line.Fault = "unknown flag --" + Name;
  else if (!Flag->ParseFrom(Value.value_or("true"), &Error))
    Line.Fault = fmt::format("--{}: {}", Name, Error);
}

static CommandLine parse(const Cli::Arguments &Given) {
  CommandLine Line;
  for (size_t I = 0; I < Given.size() && Line.Fault.empty(); ++I) {
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
      Line.Fault = "--" + Name + " has no value or is unknown";
    else
      parseFlag(Name, Value, Line);
  }
  std::string Error;
  if (!Line.Admins.empty() &&
      !absl::FindCommandLineFlag("admin")->ParseFrom(Line.Admins, &Error))
    Line.Fault = "--admin: " + Error;
  return Line;
}

int main(int ArgCount, char **Args) {
  std::signal(SIGPIPE, SIG_IGN);
  CommandLine Line = parse(Cli::Arguments(Args + 1, Args + ArgCount));
  if (!Line.Fault.empty()) {
    fmt::print(stderr, "vanillayard: {}\n{}", Line.Fault,
               Cli::help(Line.Words));
    return static_cast<int>(ExitCode::Usage);
  }
  if (Line.Help) {
    fmt::print("{}", Cli::help(Line.Words));
    return static_cast<int>(ExitCode::Ok);
  }
  CliOptions Options;
  for (const std::string &Address : absl::GetFlag(FLAGS_admin))
    Options.Admins.emplace_back(Address);
  Options.Platform = Endpoint(absl::GetFlag(FLAGS_platform));
  Options.Json = absl::GetFlag(FLAGS_json);
  Options.CallTimeout = absl::GetFlag(FLAGS_timeout);
  Options.WaitLimit = absl::GetFlag(FLAGS_wait);
  Options.Out = [](const std::string &Text) { fmt::print("{}", Text); };
  Options.Err = [](const std::string &Text) { fmt::print(stderr, "{}", Text); };
  LoopExecutor Loop;
  return static_cast<int>(Cli(Loop, Options).run(Line.Words));
}
