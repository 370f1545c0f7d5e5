#ifndef VANILLAYARD_TESTING_CLUSTER_H
#define VANILLAYARD_TESTING_CLUSTER_H

#include "config/Settings.h"
#include "config/SettingsBuilder.h"
#include "testing/EntryHostNode.h"
#include "testing/HttpCaller.h"
#include "testing/Process.h"
#include "testing/TemporaryFolder.h"
#include "testing/WorkerNode.h"

#include "absl/status/status.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace vanillayard {

/// Real processes on loopback: the stand-in platform, stand-in workers and
/// entry hosts, all with ports chosen by the kernel. Everything ends with the
/// object.
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
    /// Data centres are called dc1, dc2 and so on. Default 1.
    Builder &dataCentres(int Value);
    /// Default 2.
    Builder &hostsPerDataCentre(int Value);
    /// Default 6.
    Builder &workersPerDataCentre(int Value);
    /// Numbers for each data centre in turn, where they are not equal. They
    /// set the number of data centres too.
    Builder &hostsByDataCentre(std::vector<int> Values);
    Builder &workersByDataCentre(std::vector<int> Values);
    /// Default 6.
    Builder &workersPerRack(int Value);
    /// Workers that share a process and so die together. Default: all those
    /// of a data centre.
    Builder &workersPerProcess(int Value);
    /// Text of the operators' configuration. Default: the sample.
    Builder &configuration(std::string Text);
    /// Changes the settings of every host before they are written.
    Builder &settings(std::function<void(Settings::Builder &)> Change);
    /// Starts everything and waits until every host is ready.
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

  HttpCaller &http() { return this->Http; }
  const Endpoint &platform() const { return this->Platform; }
  Process &platformProcess() { return *this->PlatformProcess; }
  size_t hostCount() const { return this->Hosts.size(); }
  EntryHostNode &host(size_t Index) { return this->Hosts[Index]; }
  const std::vector<WorkerNode> &workers() const { return this->Workers; }
  Process &workerProcess(size_t Index) { return *this->WorkerProcesses[Index]; }
  const TemporaryFolder &folder() const { return this->Folder; }

  /// Starts a host that is not running; waits until it listens.
  absl::Status startHost(size_t Index);
  /// Ends a host by SIGTERM and waits for exit code 0.
  absl::Status stopHost(size_t Index);
  /// stopHost(), startHost() and waitReady().
  absl::Status restartHost(size_t Index);
  /// Waits until the health answer of a host is 200.
  absl::Status waitReady(size_t Index);
  /// Writes all hosts and workers to the platform's host list. Workers in
  /// \p Leaving are listed as leaving.
  absl::Status publishHosts(const std::vector<WorkerId> &Leaving = {});

  /// Runs a command of the operators' command line for all running hosts.
  /// Returns its output. Errors: Unknown if it does not exit with 0.
  absl::StatusOr<std::string> command(std::vector<std::string> Arguments);

  /// The same for one host only, so that others may be paused.
  absl::StatusOr<std::string> commandOn(size_t Host,
                                        std::vector<std::string> Arguments);
  /// Posts \p Faults to the stand-in of a worker.
  absl::Status setFaults(const WorkerNode &Worker, const std::string &Faults);
  /// Execution records of all workers, as JSON objects.
  absl::StatusOr<std::vector<nlohmann::json>> executions();
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
  HttpCaller Http;
  Endpoint Platform;
  std::unique_ptr<Process> PlatformProcess;
  std::vector<std::unique_ptr<Process>> WorkerProcesses;
  std::vector<WorkerNode> Workers;
  std::vector<EntryHostNode> Hosts;
  int Commands = 0;
};

} // namespace vanillayard

#endif
