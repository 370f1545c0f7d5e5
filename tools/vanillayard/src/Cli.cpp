#include "Cli.h"

#include "net/LoopExecutor.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace vanillayard {

using nlohmann::json;

struct Cli::Command {
  /// One or two words.
  Arguments Words;
  /// Names of the arguments that follow. The last one may be given several
  /// times if its name ends with "...".
  Arguments Parameters;
  const char *Help;
  ExitCode (Cli::*Handler)(const Arguments &);

  bool matches(const Arguments &Given) const {
    return Given.size() >= this->Words.size() &&
           std::equal(this->Words.begin(), this->Words.end(), Given.begin());
  }

  bool accepts(const Arguments &Given) const {
    size_t Least = this->Words.size() + this->Parameters.size();
    bool IsOpen =
        !this->Parameters.empty() && this->Parameters.back().ends_with("...");
    return Given.size() == Least || (IsOpen && Given.size() > Least);
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
       "Gives a worker no new work; running work ends.",
       &Cli::drainWorker},
      {{"undrain", "worker"},
       {"ID"},
       "Gives a worker new work again.",
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
       "What applying a file would change.",
       &Cli::configurationDiff},
      {{"configuration", "apply"},
       {"FILE"},
       "Replaces the configuration by a file that was made from the stored "
       "one, and\nwaits until every host has it. The generation in the file is "
       "that of the\nconfiguration it was made from; a later one in the store "
       "is a lost race.",
       &Cli::configurationApply},
      {{"timeline"},
       {},
       "Events of all hosts in the Chrome trace event format.",
       &Cli::timeline},
      {{"metrics"}, {}, "Metrics of each host.", &Cli::metrics},
      {{"explain"},
       {"ID", "FILE..."},
       "What the logs of all hosts say of one job, in order, and the cause of "
       "its failure\nor delay in the last line.",
       &Cli::explain},
      {{"warnings"},
       {},
       "Conditions that a person has to act on.",
       &Cli::warnings},
  }};
  return Table;
}

Cli::Cli(LoopExecutor &Loop, CliOptions Given)
    : Loop(Loop), Options(std::move(Given)), Http(Loop),
      Hosts(Loop, this->Http, this->Options.CallTimeout),
      Platform(this->Http, Loop, this->Options.Platform,
               this->Options.CallTimeout),
      Writer(Loop, this->Platform, this->Options.WaitLimit) {}

const Cli::Command *Cli::find(const Arguments &Words) {
  for (const Command &Entry : commands())
    if (Entry.matches(Words))
      return &Entry;
  return nullptr;
}

std::string Cli::help(const Arguments &Words) {
  static constexpr char Flags[] =
      "\nFlags:\n"
      "  --admin ADDRESS     admin address of a host; repeat it for each host\n"
      "                      (default 127.0.0.1:8081)\n"
      "  --platform ADDRESS  key-value service (default 127.0.0.1:2379)\n"
      "  --json              output for programs\n"
      "  --timeout TIME      for one call (default 5s)\n"
      "  --wait TIME         for a change to be in force (default 30s)\n"
      "\nExit codes: 0 done, 1 failed, 2 wrong usage, 3 lost race, "
      "4 unavailable.\n";
  if (const Command *Found = find(Words))
    return fmt::format("usage: vanillayard [FLAGS] {}\n\n{}\n{}",
                       Found->usage(), Found->Help, Flags);
  std::string Text = "usage: vanillayard [FLAGS] COMMAND\n\nCommands:\n";
  // The first word of a group, such as "job", lists that group.
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
  const Command *Found = find(Words);
  if (!Found || !Found->accepts(Words)) {
    this->Options.Err(help(Words));
    return ExitCode::Usage;
  }
  Arguments Args(Words.begin() + static_cast<ptrdiff_t>(Found->Words.size()),
                 Words.end());
  return (this->*Found->Handler)(Args);
}

ExitCode Cli::fail(const absl::Status &Status) {
  this->Options.Err(
      fmt::format("vanillayard: {}\n", std::string(Status.message())));
  return exitCodeOf(Status);
}

void Cli::line(const std::string &Text) {
  this->Options.Out(Text + "\n");
}

void Cli::printJson(const json &Document) {
  this->line(Document.dump(2, ' ', false, json::error_handler_t::replace));
}

ExitCode Cli::forEachHost(
    const std::string &Path,
    const std::function<void(const Endpoint &, const json &)> &Handle) {
  ExitCode Result = ExitCode::Ok;
  for (const Endpoint &Host : this->Options.Admins) {
    absl::StatusOr<json> Answer = this->Hosts.get(Host, Path);
    if (Answer.ok()) {
      Handle(Host, *Answer);
      continue;
    }
    this->Options.Err(fmt::format("vanillayard: {}: {}\n", Host.str(),
                                  std::string(Answer.status().message())));
    Result = exitCodeOf(Answer.status());
  }
  return Result;
}

absl::StatusOr<json> Cli::askAnyHost(
    const std::function<absl::StatusOr<json>(const Endpoint &)> &Call) {
  absl::StatusOr<json> Answer = absl::InternalError("no --admin is given");
  for (const Endpoint &Host : this->Options.Admins) {
    Answer = Call(Host);
    // Only a host that did not take the call leaves it to the next one.
    if (Answer.ok() || exitCodeOf(Answer.status()) != ExitCode::Unavailable)
      break;
  }
  return Answer;
}

} // namespace vanillayard
