#include "testing/Process.h"

#include "absl/time/clock.h"

#include <gtest/gtest.h>

#include <csignal>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace vanillayard {

/// setpriv --pdeathsig makes the kernel kill the program when its parent dies.
/// Otherwise a test that CTest kills at its time limit would leave its
/// processes running.
static constexpr char SetprivProgram[] = "/usr/bin/setpriv";
static constexpr absl::Duration PollInterval = absl::Milliseconds(5);
static constexpr size_t MaxShownBytes = 6000;
static constexpr int SignalExitBase = 128;

std::string Process::program(std::string_view Name) {
  return fmt::format("{}/{}", VANILLAYARD_PROGRAMS, Name);
}

static std::vector<std::string>
commandLine(const std::string &Program,
            const std::vector<std::string> &Arguments) {
  std::vector<std::string> Command;
  if (access(SetprivProgram, X_OK) == 0)
    Command = {SetprivProgram, "--pdeathsig", "KILL", "--"};
  Command.push_back(Program);
  Command.insert(Command.end(), Arguments.begin(), Arguments.end());
  return Command;
}

absl::StatusOr<std::unique_ptr<Process>>
Process::start(const std::string &Program,
               const std::vector<std::string> &Arguments,
               const std::string &OutputFile) {
  if (access(Program.c_str(), X_OK) != 0)
    return absl::UnavailableError(
        "expected an executable program, found none at " + Program);
  std::vector<std::string> Command = commandLine(Program, Arguments);
  std::vector<char *> Argv;
  Argv.reserve(Command.size() + 1);
  for (std::string &Word : Command)
    Argv.push_back(Word.data());
  Argv.push_back(nullptr);
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  posix_spawn_file_actions_addopen(&Files, STDIN_FILENO, "/dev/null", O_RDONLY,
                                   0);
  posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, OutputFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&Files, STDOUT_FILENO, STDERR_FILENO);
  pid_t Id = 0;
  int Code = posix_spawn(&Id, Argv[0], &Files, nullptr, Argv.data(), environ);
  posix_spawn_file_actions_destroy(&Files);
  if (Code != 0)
    return absl::UnavailableError(fmt::format("cannot start program {}: {}",
                                              Program, std::strerror(Code)));
  std::string Name = Program.substr(Program.rfind('/') + 1);
  return std::unique_ptr<Process>(new Process(Id, std::move(Name), OutputFile));
}

Process::~Process() {
  if (testing::UnitTest::GetInstance()->current_test_info() &&
      testing::Test::HasFailure())
    this->showOutput();
  if (this->exitCode())
    return;
  this->kill();
  int Status = 0;
  while (waitpid(this->Id, &Status, 0) < 0 && errno == EINTR) {
  }
}

std::string Process::output() const {
  std::ifstream File(this->OutputFile);
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

void Process::showOutput() const {
  std::string Text = this->output();
  if (Text.size() > MaxShownBytes)
    Text = "...\n" + Text.substr(Text.size() - MaxShownBytes);
  fmt::print(stderr, "--- output of {} ({}):\n{}\n", this->Name, this->Id,
             Text);
}

/// Appends the address of a line "listening ADDRESS [NAME]"; ignores other
/// lines.
static void parseListeningLine(const std::string &Line,
                               std::vector<ListeningAddress> &Addresses) {
  std::istringstream Words(Line);
  std::string First;
  std::string Address;
  std::string Name;
  Words >> First >> Address >> Name;
  if (First == "listening" && !Address.empty())
    Addresses.push_back({Endpoint(Address), Name});
}

std::vector<ListeningAddress> Process::listeningAddresses() const {
  std::vector<ListeningAddress> Addresses;
  std::istringstream Lines(this->output());
  std::string Line;
  while (std::getline(Lines, Line)) {
    // The program may still be writing a line that has no line feed yet.
    if (Lines.eof())
      break;
    parseListeningLine(Line, Addresses);
  }
  return Addresses;
}

absl::StatusOr<std::vector<ListeningAddress>>
Process::waitForListening(size_t Count, absl::Duration Limit) {
  absl::Time End = absl::Now() + Limit;
  while (absl::Now() < End) {
    std::vector<ListeningAddress> Addresses = this->listeningAddresses();
    if (Addresses.size() >= Count)
      return Addresses;
    if (std::optional<int> Code = this->exitCode())
      return absl::AbortedError(fmt::format(
          "{} exited with code {} before it listened on all addresses:\n{}",
          this->Name, *Code, this->output()));
    absl::SleepFor(PollInterval);
  }
  return absl::DeadlineExceededError(fmt::format(
      "{} does not listen on all expected addresses within the limit:\n{}",
      this->Name, this->output()));
}

void Process::signal(int Signal) {
  // The kernel may have given the id of a reaped process to another process.
  if (!this->exitCode())
    ::kill(this->Id, Signal);
}

void Process::terminate() {
  this->signal(SIGTERM);
}

void Process::kill() {
  this->signal(SIGKILL);
}

void Process::pause() {
  this->signal(SIGSTOP);
}

void Process::resume() {
  this->signal(SIGCONT);
}

std::optional<int> Process::exitCode() {
  if (this->Exit)
    return this->Exit;
  int Status = 0;
  if (waitpid(this->Id, &Status, WNOHANG) != this->Id)
    return std::nullopt;
  this->Exit = WIFEXITED(Status) ? WEXITSTATUS(Status)
                                 : SignalExitBase + WTERMSIG(Status);
  return this->Exit;
}

absl::StatusOr<int> Process::waitForExit(absl::Duration Limit) {
  absl::Time End = absl::Now() + Limit;
  while (absl::Now() < End) {
    if (std::optional<int> Code = this->exitCode())
      return *Code;
    absl::SleepFor(PollInterval);
  }
  return absl::DeadlineExceededError(this->Name +
                                     " has not exited within the limit");
}

} // namespace vanillayard
