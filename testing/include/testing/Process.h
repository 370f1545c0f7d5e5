#ifndef VANILLAYARD_TESTING_PROCESS_H
#define VANILLAYARD_TESTING_PROCESS_H

#include "testing/ListeningAddress.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace vanillayard {

/// A program under test. The destructor kills and reaps it; the kernel kills it
/// if the test's process dies. Its output goes to a file; the destructor prints
/// the end of the file if the current test has failed.
///
/// \code
///   auto Worker = Process::start(Process::program("standin-worker"),
///                                {"--workers=2"}, Folder.file("worker.log"));
///   auto Addresses = (*Worker)->waitForListening(2);
/// \endcode
class Process {
public:
  /// Limit of a wait for a condition, far above the expected time because other
  /// programs may load the machine.
  static constexpr absl::Duration DefaultLimit = absl::Seconds(60);

  /// Path of a program that this build produces in bin/.
  static std::string program(std::string_view Name);

  /// Starts a program; its standard output and error are appended to
  /// \p OutputFile. Errors: Unavailable if the program cannot be started.
  static absl::StatusOr<std::unique_ptr<Process>>
  start(const std::string &Program, const std::vector<std::string> &Arguments,
        const std::string &OutputFile);

  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// Addresses that the program has printed so far in lines
  /// "listening ADDRESS [NAME]".
  std::vector<ListeningAddress> listeningAddresses() const;
  /// Waits until the program has printed \p Count addresses. Errors:
  /// DeadlineExceeded, or Aborted if the program has exited.
  absl::StatusOr<std::vector<ListeningAddress>>
  waitForListening(size_t Count, absl::Duration Limit = DefaultLimit);

  /// Sends SIGTERM. Like the other signals, it has no effect once the program
  /// has exited.
  void terminate();
  /// Sends SIGKILL.
  void kill();
  /// Stops all threads of the program with SIGSTOP, as on a paused machine.
  void pause();
  /// Sends SIGCONT.
  void resume();

  /// Exit code, or 128 plus the number of the signal that ended the program;
  /// empty while it runs.
  std::optional<int> exitCode();
  /// Waits for the exit code. Errors: DeadlineExceeded.
  absl::StatusOr<int> waitForExit(absl::Duration Limit = DefaultLimit);

  pid_t id() const { return this->Id; }
  std::string output() const;
  /// Prints the end of the output to standard error.
  void showOutput() const;

private:
  Process(pid_t Id, std::string Name, std::string OutputFile)
      : Id(Id), Name(std::move(Name)), OutputFile(std::move(OutputFile)) {}
  void signal(int Signal);

  pid_t Id;
  std::string Name;
  std::string OutputFile;
  std::optional<int> Exit;
};

} // namespace vanillayard

#endif
