#ifndef VANILLAYARD_LOAD_LOADRUN_H
#define VANILLAYARD_LOAD_LOADRUN_H

#include "base/Ids.h"
#include "load/Recorder.h"
#include "load/Workload.h"

#include "absl/status/status.h"

#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace vanillayard {

class LoopExecutor;
class OpenLoopDriver;

/// Sends a workload over HTTP from a thread with its own event loop, so that
/// the experiment's script may block during the run.
class LoadRun {
public:
  /// Starts the run. \param Name unique for each run against the same hosts.
  LoadRun(std::vector<Endpoint> Hosts, Workload Load, std::string Name,
          absl::Duration DrainTime);
  /// Waits for the end of the run: at most the workload's duration plus the
  /// drain time.
  ~LoadRun();

  /// Waits for the end of the run. Errors: InvalidArgument for a workload
  /// that the driver refuses.
  absl::Status wait();

  /// Changes the entry hosts of later requests, as a load balancer does when
  /// its list of hosts changes. Call it from the script's thread.
  void setHosts(std::vector<Endpoint> Value);

  /// Valid after wait().
  const Recorder &records() const { return this->Records; }
  absl::Duration worstSendDelay() const { return this->WorstSendDelay; }

private:
  void runDriver();
  void applyHostChange(OpenLoopDriver &Driver, LoopExecutor &Loop);

  std::mutex HostsMutex;
  /// Guarded by HostsMutex.
  std::vector<Endpoint> Hosts;
  bool HostsChanged = false;
  Workload Load;
  std::string Name;
  absl::Duration DrainTime;
  Recorder Records;
  absl::Status Result;
  absl::Duration WorstSendDelay;
  std::thread Thread;
};

} // namespace vanillayard

#endif
