#ifndef VANILLAYARD_TESTING_FLEETCLUSTER_H
#define VANILLAYARD_TESTING_FLEETCLUSTER_H

#include "testing/Process.h"
#include "testing/TemporaryFolder.h"
#include "testing/TestHttpClient.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <memory>
#include <string>
#include <vector>

namespace vanillayard {

/// Runs entry hosts of the users' platform as real processes that use the
/// platform's stand-in. The configuration has one queue, "/renders/" on
/// yard.example.
class FleetCluster {
public:
  /// Starts all processes and waits until every host is ready.
  /// \param TaskTime run time of each task.
  /// \param HostSettings further lines of the hosts' settings files.
  /// Errors: Unavailable, Aborted if a process exits, DeadlineExceeded.
  static absl::StatusOr<std::unique_ptr<FleetCluster>>
  start(int Hosts, int Workers, absl::Duration TaskTime,
        std::string HostSettings = "");

  size_t hostCount() const { return this->Hosts.size(); }
  Process &process(size_t Host) { return *this->Hosts[Host].Program; }
  const Endpoint &callerAddress(size_t Host) const {
    return this->Hosts[Host].CallerAddress;
  }
  const Endpoint &readyAddress(size_t Host) const {
    return this->Hosts[Host].ReadyAddress;
  }
  TestHttpClient &http() { return this->Caller; }

  /// Sends a request as the queue's client account. If no complete answer
  /// arrives, the answer has status 0 and the error as its body.
  HttpResponse call(size_t Host, const std::string &Method,
                    const std::string &JobId, const std::string &Body = "");
  /// Submits a job of one step with \p Tasks equal tasks, each with
  /// \p Accelerators accelerators.
  HttpResponse submitJob(size_t Host, const std::string &JobId, int Tasks,
                         int Accelerators);
  /// State of a job; an empty string if the host does not answer with one.
  std::string readJobState(size_t Host, const std::string &JobId);
  /// Whether the host's readiness check answers with 200.
  bool isReady(size_t Host);
  /// Polls the host until the job is in \p State. Returns false after 40 s.
  bool waitForState(size_t Host, const std::string &JobId,
                    const std::string &State);
  /// Polls the host until it gives \p Count as the number of jobs that have not
  /// started. Returns false after 40 s.
  bool waitForWaitingJobs(size_t Host, int Count);
  /// Index of the running host whose log says that it is the leader;
  /// hostCount() if there is none.
  size_t leaderIndex();
  /// Number of runs that the workers have started; -1 if the stand-in does not
  /// answer.
  int64_t countStartedRuns();
  /// Writes the operators' configuration with \p Version. Returns false if the
  /// stand-in does not accept it.
  bool writeConfiguration(int Version);
  /// Prints the end of the output of every process.
  void showOutput() const;

private:
  struct Host {
    std::unique_ptr<Process> Program;
    Endpoint CallerAddress;
    Endpoint ReadyAddress;
  };

  absl::Status startHost();

  TemporaryFolder Folder;
  std::string HostSettings;
  TestHttpClient Caller;
  std::unique_ptr<Process> Platform;
  Endpoint Store;
  std::vector<Host> Hosts;
};

} // namespace vanillayard

#endif
