#include "Cli.h"

#include "net/LoopExecutor.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace vanillayard {

using nlohmann::json;

struct Cli::Command {
  /// The command's name: one or two words.
  Arguments Words;
  /// Names of the arguments after the command. If the last name ends with
  /// "...", that argument can be repeated.
  Arguments Parameters;
  const char *Help;
  ExitCode (Cli::*Handler)(const Arguments &);

  bool matches(const Arguments &Given) const {
    return Given.size() >= this->Words.size() &&
           std::equal(this->Words.begin(), this->Words.end(), Given.begin());
  }

  bool acceptsWordCount(const Arguments &Given) const {
    size_t MinWords = this->Words.size() + this->Parameters.size();
    bool IsVariadic =
        !this->Parameters.empty() && this->Parameters.back().ends_with("...");
    return Given.size() == MinWords || (IsVariadic && Given.size() > MinWords);
  }

  std::string usage() const {
    std::string Text;
    for (const std::string &Word : this->Words)
      Text += Text.empty() ? Word : " " + Word;
    for (const std::string &Name : this->Parameters)
      Text += " " + Name;
    return Text;
  }
};

std::span<const Cli::Command> Cli::commands() {
  static const std::array<Command, 17> Table = {{
      {{"status"},
       {},
       "State of each host: generation, preset, peers, workers, queues.",
       &Cli::status},
      {{"job", "list"}, {}, "All jobs with their state.", &Cli::jobList},
      {{"job", "show"}, {"ID"}, "One job.", &Cli::jobShow},
      {{"job", "cancel"}, {"ID"}, "Cancels a job.", &Cli::jobCancel},
      {{"drain", "host"},
       {},
       "Begins a graceful shutdown of the one host given by --admin.",
       &Cli::drainHost},
      {{"drain", "worker"},
       {"ID"},
       "Stops giving a worker new work; running work continues to its end.",
       &Cli::drainWorker},
      {{"undrain", "worker"},
       {"ID"},
       "Allows new work on a worker again.",
       &Cli::undrainWorker},
      {{"preset", "show"}, {}, "The preset in force.", &Cli::presetShow},
      {{"preset", "set"},
       {"NAME"},
       "Puts another preset in force and waits until every host has it.",
       &Cli::presetSet},
      {{"configuration", "show"},
       {},
       "The configuration in the platform's service.",
       &Cli::configurationShow},
      {{"configuration", "check"},
       {"FILE"},
       "Validates a file.",
       &Cli::configurationCheck},
      {{"configuration", "diff"},
       {"FILE"},
       "The changes that applying a file would make.",
       &Cli::configurationDiff},
      {{"configuration", "apply"},
       {"FILE"},
       "Replaces the configuration with a file that was made from the stored "
       "one, and\nwaits until every host has it. The generation in the file is "
       "that of the\nconfiguration it was made from; if the store holds "
       "another one, nothing is\nwritten and the exit code is 3.",
       &Cli::configurationApply},
      {{"timeline"},
       {},
       "Events of all hosts in the Chrome trace event format.",
       &Cli::timeline},
      {{"metrics"}, {}, "Metrics of each host.", &Cli::metrics},
      {{"explain"},
       {"ID", "FILE..."},
       "Log lines of all hosts about one job, in order of time, and the cause "
       "of its failure\nor delay in the last line.",
       &Cli::explain},
      {{"warnings"},
       {},
       "Conditions that an operator must act on.",
       &Cli::warnings},
  }};
  return Table;
}

Cli::Cli(LoopExecutor &Loop, CliOptions Given)
    : Loop(Loop), Options(std::move(Given)), Http(Loop),
      HostClient(Loop, this->Http, this->Options.CallTimeout),
      PlatformStore(this->Http, Loop, this->Options.Platform,
                    this->Options.CallTimeout),
      Writer(Loop, this->PlatformStore, this->Options.WaitLimit) {}

const Cli::Command *Cli::findCommand(const Arguments &Words) {
  for (const Command &Entry : commands())
    if (Entry.matches(Words))
      return &Entry;
  return nullptr;
}

std::string Cli::helpText(const Arguments &Words) {
  static constexpr char Flags[] =
      "\nFlags:\n"
      "  --admin ADDRESS     admin address of a host; repeat it for each host\n"
      "                      (default 127.0.0.1:8081)\n"
      "  --platform ADDRESS  key-value service (default 127.0.0.1:2379)\n"
      "  --json              print JSON\n"
      "  --timeout TIME      timeout of one call (default 5s)\n"
      "  --wait TIME         how long to wait until a change is in force\n"
      "                      (default 30s)\n"
      "\nExit codes: 0 done, 1 failed, 2 wrong usage, 3 conflict, "
      "4 unavailable.\n";
  if (const Command *Found = findCommand(Words))
    return fmt::format("usage: vanillayard [FLAGS] {}\n\n{}\n{}",
                       Found->usage(), Found->Help, Flags);
  std::string Text = "usage: vanillayard [FLAGS] COMMAND\n\nCommands:\n";
  // If only the first word is known, such as "job", the text lists only the
  // commands that start with it.
  bool IsGroupKnown = std::any_of(
      commands().begin(), commands().end(), [&](const Command &Entry) {
        return !Words.empty() && Words.front() == Entry.Words.front();
      });
  for (const Command &Entry : commands()) {
    bool IsGroup = !IsGroupKnown || Words.front() == Entry.Words.front();
    std::string Help = Entry.Help;
    if (IsGroup)
      Text += fmt::format("  {:<26} {}\n", Entry.usage(),
                          Help.substr(0, Help.find('\n')));
  }
  return Text + Flags;
}

ExitCode Cli::run(const Arguments &Words) {
  const Command *Found = findCommand(Words);
  if (!Found || !Found->acceptsWordCount(Words)) {
    this->Options.ErrorOutput(helpText(Words));
    return ExitCode::Usage;
  }
  Arguments Args(Words.begin() + static_cast<ptrdiff_t>(Found->Words.size()),
                 Words.end());
  return (this->*Found->Handler)(Args);
}

ExitCode Cli::reportError(const absl::Status &Status) {
  this->Options.ErrorOutput(
      fmt::format("vanillayard: {}\n", std::string(Status.message())));
  return exitCodeOf(Status);
}

void Cli::printLine(const std::string &Text) {
  this->Options.Output(Text + "\n");
}

void Cli::printJson(const json &Document) {
  this->printLine(Document.dump(2, ' ', false, json::error_handler_t::replace));
}

ExitCode Cli::forEachHost(
    const std::string &Path,
    const std::function<void(const Endpoint &, const json &)> &Handle) {
  ExitCode Result = ExitCode::Ok;
  for (const Endpoint &Host : this->Options.AdminAddresses) {
    absl::StatusOr<json> Answer = this->HostClient.getJson(Host, Path);
    if (Answer.ok()) {
      Handle(Host, *Answer);
      continue;
    }
    this->Options.ErrorOutput(
        fmt::format("vanillayard: {}: {}\n", Host.str(),
                    std::string(Answer.status().message())));
    Result = exitCodeOf(Answer.status());
  }
  return Result;
}

absl::StatusOr<json> Cli::callAnyHost(
    const std::function<absl::StatusOr<json>(const Endpoint &)> &Call) {
  absl::StatusOr<json> Answer = absl::InternalError("no --admin is given");
  for (const Endpoint &Host : this->Options.AdminAddresses) {
    Answer = Call(Host);
    // The next host is tried only if this one was unavailable.
    if (Answer.ok() || exitCodeOf(Answer.status()) != ExitCode::Unavailable)
      break;
  }
  return Answer;
}

} // namespace vanillayard
