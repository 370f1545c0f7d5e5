#include "ClusterTestBed.h"

#include "config/ConfigurationCodec.h"
#include "endpoint/WorkerCodec.h"
#include "load/DeploymentConfiguration.h"
#include "testing/Cluster.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace vanillayard {

ClusterTestBed::ClusterTestBed(Deployment TestDeployment,
                               std::unique_ptr<Cluster> Processes)
    : TestDeployment(std::move(TestDeployment)),
      Processes(std::move(Processes)) {}

ClusterTestBed::~ClusterTestBed() = default;

std::vector<Endpoint> ClusterTestBed::entryHosts() const {
  std::vector<Endpoint> Addresses;
  for (size_t I = 0; I < this->Processes->hostCount(); ++I)
    Addresses.push_back(this->Processes->host(I).Caller);
  return Addresses;
}

absl::Status ClusterTestBed::restartHost(size_t Index) {
  return this->Processes->restartHost(Index);
}

absl::Status ClusterTestBed::failWorker(bool Fails) {
  return this->Processes->setFaults(
      this->Processes->workers().front(),
      nlohmann::json{{"fail_everything", Fails}}.dump());
}

absl::StatusOr<int> ClusterTestBed::tasksFailed() {
  const WorkerNode &Worker = this->Processes->workers().front();
  auto Answer = this->Processes->http().get(Worker.Address, "/v1/executions");
  if (!Answer.ok())
    return Answer.status();
  nlohmann::json Log = nlohmann::json::parse(Answer->Body, nullptr, false);
  if (!Log.is_object() || !Log["executions"].is_array())
    return absl::DataLossError(
        "execution log is not JSON with an array \"executions\": worker " +
        Worker.Name.str());
  int Failed = 0;
  for (const nlohmann::json &Run : Log["executions"])
    if (Run.value("state", std::string()) == "failed")
      ++Failed;
  return Failed;
}

absl::StatusOr<std::vector<WorkerOccupancy>> ClusterTestBed::occupancy() {
  std::vector<WorkerOccupancy> All;
  for (const WorkerNode &Worker : this->Processes->workers()) {
    auto Answer = this->Processes->http().get(Worker.Address, "/v1/status");
    if (!Answer.ok())
      return Answer.status();
    auto Status =
        worker_codec::decodeStatus(worker_codec::fromText(Answer->Body));
    if (!Status)
      return absl::DataLossError("status document is malformed: worker " +
                                 Worker.Name.str());
    int Busy = 0;
    for (const LeaseReport &Lease : Status->Leases)
      if (Lease.State == LeaseState::Held || Lease.State == LeaseState::Running)
        Busy += static_cast<int>(Lease.Accelerators.size());
    All.push_back({Worker.DataCentre, Worker.Rack, Busy});
  }
  return All;
}

static void setPolicy(Settings::Builder &Options, PolicyChoice Policy) {
  bool IsBaseline = Policy == PolicyChoice::Baseline;
  Options.logLevel(LogLevel::Warning)
      .queue(IsBaseline ? QueueChoice::Fifo : QueueChoice::WeightedFair)
      .workerSelection(IsBaseline ? WorkerSelectionChoice::Random
                                  : WorkerSelectionChoice::PowerOfTwo)
      .placement(IsBaseline ? PlacementChoice::FirstFit
                            : PlacementChoice::Cells)
      .retry(IsBaseline ? RetryChoice::Unlimited : RetryChoice::Budget);
}

absl::StatusOr<std::unique_ptr<TestBed>>
ClusterTestBedFactory::start(const Deployment &TestDeployment,
                             PolicyChoice Policy) {
  std::vector<int> Hosts;
  std::vector<int> Workers;
  for (const DataCentreSize &Centre : TestDeployment.DataCentres) {
    Hosts.push_back(Centre.Hosts);
    Workers.push_back(Centre.Workers);
  }
  auto Processes = Cluster::Builder()
                       .hostsByDataCentre(std::move(Hosts))
                       .workersByDataCentre(std::move(Workers))
                       .workersPerRack(TestDeployment.WorkersPerRack)
                       .configuration(ConfigurationCodec::encode(
                           DeploymentConfiguration::make(TestDeployment)))
                       .settings([Policy](Settings::Builder &Options) {
                         setPolicy(Options, Policy);
                       })
                       .build();
  if (!Processes.ok())
    return Processes.status();
  return std::make_unique<ClusterTestBed>(TestDeployment,
                                          *std::move(Processes));
}

} // namespace vanillayard
