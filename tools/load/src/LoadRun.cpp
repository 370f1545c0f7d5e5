#include "load/LoadRun.h"

#include "load/OpenLoopDriver.h"
#include "net/H2oHttpClient.h"
#include "net/LoopExecutor.h"

#include <utility>

namespace vanillayard {

/// Interval at which the driver's thread checks for a changed list of hosts.
static constexpr absl::Duration HostsCheckInterval = absl::Milliseconds(20);

LoadRun::LoadRun(std::vector<Endpoint> Hosts, Workload Load, std::string Name,
                 absl::Duration DrainTime)
    : Hosts(std::move(Hosts)), Load(std::move(Load)), Name(std::move(Name)),
      DrainTime(DrainTime), Thread([this] { this->runDriver(); }) {}

LoadRun::~LoadRun() {
  if (this->Thread.joinable())
    this->Thread.join();
}

absl::Status LoadRun::wait() {
  if (this->Thread.joinable())
    this->Thread.join();
  return this->Result;
}

void LoadRun::setHosts(std::vector<Endpoint> Value) {
  std::lock_guard<std::mutex> Lock(this->HostsMutex);
  this->Hosts = std::move(Value);
  this->HostsChanged = true;
}

void LoadRun::applyHostChange(OpenLoopDriver &Driver, LoopExecutor &Loop) {
  {
    std::lock_guard<std::mutex> Lock(this->HostsMutex);
    if (std::exchange(this->HostsChanged, false))
      Driver.setHosts(this->Hosts);
  }
  Loop.runAfter(HostsCheckInterval,
                [&] { this->applyHostChange(Driver, Loop); });
}

void LoadRun::runDriver() {
  LoopExecutor Loop;
  H2oHttpClient Client(Loop);
  std::vector<Endpoint> FirstHosts;
  {
    std::lock_guard<std::mutex> Lock(this->HostsMutex);
    FirstHosts = this->Hosts;
  }
  auto Driver = OpenLoopDriver::Builder(Loop, Client)
                    .hosts(std::move(FirstHosts))
                    .workload(std::move(this->Load))
                    .recorder(this->Records)
                    .runName(this->Name)
                    .drainTime(this->DrainTime)
                    .build();
  if (!Driver.ok()) {
    this->Result = Driver.status();
    return;
  }
  this->applyHostChange(**Driver, Loop);
  (*Driver)->start([&] { Loop.stop(); });
  Loop.run();
  this->WorstSendDelay = (*Driver)->worstSendDelay();
}

} // namespace vanillayard
