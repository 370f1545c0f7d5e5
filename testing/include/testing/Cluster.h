#ifndef VANILLAYARD_TESTING_CLUSTER_H
#define VANILLAYARD_TESTING_CLUSTER_H

#include "config/Settings.h"
#include "config/SettingsBuilder.h"
#include "testing/EntryHostNode.h"
#include "testing/Process.h"
#include "testing/TemporaryFolder.h"
#include "testing/TestHttpClient.h"
#include "testing/WorkerNode.h"

#include "absl/status/status.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace vanillayard {

/// Runs the stand-in platform, stand-in workers and entry hosts as real
/// processes on loopback, on ports that the kernel chooses. The destructor
/// ends all processes.
///
/// \code
///   auto Built = Cluster::Builder().dataCentres(2).build();
///   Cluster &C = **Built;
///   C.http().get(C.host(0).Caller, "/healthz");
///   C.restartHost(0);
/// \endcode
class Cluster {
public:
  class Builder {
  public:
    /// Number of data centres, named dc1, dc2 and so on. Default 1.
    Builder &dataCentres(int Value);
    /// Default 2.
    Builder &hostsPerDataCentre(int Value);
    /// Default 6.
    Builder &workersPerDataCentre(int Value);
    /// Number of hosts of each data centre, for clusters whose data centres
    /// differ. Also sets the number of data centres.
    Builder &hostsByDataCentre(std::vector<int> Values);
    /// Number of workers of each data centre. Also sets the number of data
    /// centres.
    Builder &workersByDataCentre(std::vector<int> Values);
    /// Default 6.
    Builder &workersPerRack(int Value);
    /// Workers that share a process and therefore fail together. Default: all
    /// workers of a data centre.
    Builder &workersPerProcess(int Value);
    /// Text of the operators' configuration. Default:
    /// samples/configuration.json.
    Builder &configuration(std::string Text);
    /// \p Change edits the settings of a host before each start of it.
    Builder &settings(std::function<void(Settings::Builder &)> Change);
    /// Starts all processes and waits until every host is ready. On an error
    /// prints the output of all processes.
    absl::StatusOr<std::unique_ptr<Cluster>> build();

  private:
    friend class Cluster;
    int DataCentres = 1;
    int HostsPerDataCentre = 2;
    int WorkersPerDataCentre = 6;
    std::vector<int> HostsByDataCentre;
    std::vector<int> WorkersByDataCentre;
    int WorkersPerRack = 6;
    int WorkersPerProcess = 0;
    std::string Configuration;
    std::function<void(Settings::Builder &)> ChangeSettings;
  };

  ~Cluster();
  Cluster(const Cluster &) = delete;
  Cluster &operator=(const Cluster &) = delete;

  TestHttpClient &http() { return this->Http; }
  const Endpoint &platform() const { return this->Platform; }
  Process &platformProcess() { return *this->PlatformProcess; }
  size_t hostCount() const { return this->Hosts.size(); }
  EntryHostNode &host(size_t Index) { return this->Hosts[Index]; }
  const std::vector<WorkerNode> &workers() const { return this->Workers; }
  Process &workerProcess(size_t Index) { return *this->WorkerProcesses[Index]; }
  const TemporaryFolder &folder() const { return this->Folder; }

  /// Starts a host that is not running, waits until it listens and publishes
  /// its addresses. Errors: Unavailable, Aborted if it exits,
  /// DeadlineExceeded.
  absl::Status startHost(size_t Index);
  /// Ends a host by SIGTERM and waits for exit code 0. Errors:
  /// DeadlineExceeded, or Unknown for another exit code.
  absl::Status stopHost(size_t Index);
  /// stopHost(), startHost() and waitReady().
  absl::Status restartHost(size_t Index);
  /// Waits until a host answers GET /healthz with 200. Errors:
  /// DeadlineExceeded.
  absl::Status waitReady(size_t Index);
  /// Writes all running hosts and all workers to the platform's host list.
  /// Workers in \p Leaving get the state leaving, all others live.
  absl::Status publishHosts(const std::vector<WorkerId> &Leaving = {});

  /// Runs the operators' command-line tool with the admin addresses of all
  /// running hosts. Returns its output. Errors: Unknown if it does not exit
  /// with 0.
  absl::StatusOr<std::string>
  runOperatorCommand(std::vector<std::string> Arguments);

  /// Like runOperatorCommand(), but with the address of one host only, so that
  /// other hosts may be paused.
  absl::StatusOr<std::string>
  runOperatorCommandOn(size_t Host, std::vector<std::string> Arguments);
  /// Posts \p Faults, a JSON object, to a stand-in worker.
  absl::Status setFaults(const WorkerNode &Worker, const std::string &Faults);
  /// Execution records of all workers, as JSON objects.
  absl::StatusOr<std::vector<nlohmann::json>> readExecutions();
  /// Prints the end of the output of every process.
  void showOutput() const;

private:
  absl::StatusOr<std::string> runCommand(std::vector<std::string> Arguments);
  explicit Cluster(Builder Options) : Options(std::move(Options)) {}

  absl::Status startAll();
  absl::Status startPlatform();
  absl::Status startWorkers(const DataCentreId &DataCentre, int Total);
  absl::Status startWorkerProcess(const DataCentreId &DataCentre, int First,
                                  int Count);
  absl::Status putConfiguration();
  absl::StatusOr<std::string> writeSettings(const EntryHostNode &Host);

  Builder Options;
  TemporaryFolder Folder;
  TestHttpClient Http;
  Endpoint Platform;
  std::unique_ptr<Process> PlatformProcess;
  std::vector<std::unique_ptr<Process>> WorkerProcesses;
  std::vector<WorkerNode> Workers;
  std::vector<EntryHostNode> Hosts;
  int CommandCount = 0;
};

} // namespace vanillayard

#endif
