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

/// A program under test. It is killed and reaped in the destructor, and by
/// the kernel if the test's process dies. Its output goes to a file, whose
/// end is printed by the destructor when the running test has failed.
///
/// \code
///   auto Worker = Process::start(Process::program("standin-worker"),
///                                {"--workers=2"}, Folder.file("worker.log"));
///   auto Addresses = (*Worker)->waitForListening(2);
/// \endcode
class Process {
public:
  /// Longest wait for a condition, generous because machines are shared.
  static constexpr absl::Duration DefaultLimit = absl::Seconds(60);

  /// Path of a program that this build makes.
  static std::string program(std::string_view Name);

  /// Errors: Unavailable if the program cannot be started.
  static absl::StatusOr<std::unique_ptr<Process>>
  start(const std::string &Program, const std::vector<std::string> &Arguments,
        const std::string &OutputFile);

  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// Addresses that the program has printed until now.
  std::vector<ListeningAddress> listening() const;
  /// Waits until \p Count addresses are printed. Errors: DeadlineExceeded, or
  /// Aborted if the program has ended.
  absl::StatusOr<std::vector<ListeningAddress>>
  waitForListening(size_t Count, absl::Duration Limit = DefaultLimit);

  /// Signals. They do nothing once the program has ended.
  void terminate();
  void kill();
  /// Stops the program as a whole, as a paused machine does.
  void pause();
  void resume();

  /// Exit code, or 128 plus the signal, once the program has ended.
  std::optional<int> exitCode();
  /// Errors: DeadlineExceeded.
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
