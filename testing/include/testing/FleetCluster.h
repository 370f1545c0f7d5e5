#ifndef VANILLAYARD_TESTING_FLEETCLUSTER_H
#define VANILLAYARD_TESTING_FLEETCLUSTER_H

#include "testing/HttpCaller.h"
#include "testing/Process.h"
#include "testing/TemporaryFolder.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <memory>
#include <string>
#include <vector>

namespace vanillayard {

/// Entry hosts of the users' platform as real processes, over its stand-in,
/// with one queue "/renders/" on yard.example.
class FleetCluster {
public:
  /// \param TaskTime run time of each task.
  /// Errors: Unavailable, DeadlineExceeded.
  static absl::StatusOr<std::unique_ptr<FleetCluster>>
  start(int Hosts, int Workers, absl::Duration TaskTime);

  size_t hostCount() const { return this->Hosts.size(); }
  Process &process(size_t Host) { return *this->Hosts[Host].Program; }
  HttpCaller &caller() { return this->Caller; }

  /// A call of the queue's client; status 0 if there was no whole answer.
  HttpResponse call(size_t Host, const std::string &Method,
                    const std::string &JobId, const std::string &Body = "");
  /// Submits a job of equal tasks.
  HttpResponse submit(size_t Host, const std::string &JobId, int Tasks,
                      int Accelerators);
  /// State of a job, or an empty string.
  std::string state(size_t Host, const std::string &JobId);
  bool isReady(size_t Host);
  /// Waits until the host shows the state.
  bool waitForState(size_t Host, const std::string &JobId,
                    const std::string &State);
  /// Index of the leader, by the hosts' logs; hostCount() if there is none.
  size_t leader();
  /// Runs that the workers have begun.
  int64_t begunRuns();
  /// Writes the operators' configuration.
  bool configure(int Version);
  void showOutput() const;

private:
  struct Host {
    std::unique_ptr<Process> Program;
    Endpoint Callers;
    Endpoint Ready;
  };

  absl::Status startHost();

  TemporaryFolder Folder;
  HttpCaller Caller;
  std::unique_ptr<Process> Platform;
  Endpoint Store;
  std::vector<Host> Hosts;
};

} // namespace vanillayard

#endif
