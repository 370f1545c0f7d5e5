#include "ClusterDataCentreTestBed.h"

#include "config/ConfigurationCodec.h"
#include "load/Deployment.h"
#include "load/DeploymentConfiguration.h"
#include "testing/Cluster.h"

#include "absl/strings/escaping.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace vanillayard {

static constexpr char ConfigurationKey[] = "/vanillayard/config";
static constexpr int HttpOk = 200;

ClusterDataCentreTestBed::ClusterDataCentreTestBed(
    Configuration Config, std::unique_ptr<Cluster> Processes)
    : Config(std::move(Config)), Processes(std::move(Processes)) {}

ClusterDataCentreTestBed::~ClusterDataCentreTestBed() = default;

std::vector<Endpoint> ClusterDataCentreTestBed::callerAddresses() const {
  std::vector<Endpoint> Addresses;
  for (size_t I = 0; I < this->Processes->hostCount(); ++I)
    Addresses.push_back(this->Processes->host(I).Caller);
  return Addresses;
}

std::vector<Endpoint> ClusterDataCentreTestBed::adminAddresses() const {
  std::vector<Endpoint> Addresses;
  for (size_t I = 0; I < this->Processes->hostCount(); ++I)
    Addresses.push_back(this->Processes->host(I).Admin);
  return Addresses;
}

absl::StatusOr<ProcessUsage> ClusterDataCentreTestBed::usageOf(size_t Host) {
  return ProcessUsage::of(this->Processes->host(Host).Running->id());
}

absl::Status ClusterDataCentreTestBed::killHost(size_t Host) {
  this->Processes->host(Host).Running->kill();
  return this->Processes->host(Host).Running->waitForExit().status();
}

absl::StatusOr<int64_t> ClusterDataCentreTestBed::changeConfiguration() {
  ++this->Config.Generation;
  nlohmann::json Put = {
      {"key", absl::Base64Escape(ConfigurationKey)},
      {"value", absl::Base64Escape(ConfigurationCodec::encode(this->Config))}};
  nlohmann::json Transaction = {
      {"success", nlohmann::json::array({{{"request_put", std::move(Put)}}})}};
  auto Answer = this->Processes->http().post(this->Processes->platform(),
                                             "/v3/kv/txn", Transaction.dump());
  if (!Answer.ok())
    return Answer.status();
  if (Answer->Status != HttpOk)
    return absl::InternalError(
        "writing the configuration failed; the platform answered: " +
        Answer->Body);
  return this->Config.Generation;
}

static Configuration configurationFor(const DataCentreTestBedSize &Size) {
  Deployment Base = *Deployment::named("small");
  auto Named = static_cast<int>(Base.Accounts.size());
  Configuration Config =
      DeploymentConfiguration::make(Base, std::max(0, Size.Accounts - Named));
  for (ClientAccount &Account : Config.Accounts)
    Account.Guarantees.clear();
  if (Size.GuaranteedWorkers > 0) {
    GuaranteedCells Cells;
    Cells.DataCentre = Base.DataCentres.front().Name;
    Cells.AcceleratorsPerCell = Deployment::AcceleratorsPerWorker;
    Cells.Count = Size.GuaranteedWorkers;
    Config.Accounts.front().Guarantees = {Cells};
  }
  return Config;
}

absl::StatusOr<std::unique_ptr<DataCentreTestBed>>
ClusterDataCentreTestBedFactory::start(const DataCentreTestBedSize &Size) {
  constexpr int WorkersPerRack = 8;
  Configuration Config = configurationFor(Size);
  auto Processes = Cluster::Builder()
                       .hostsPerDataCentre(Size.Hosts)
                       .workersPerDataCentre(Size.Workers)
                       .workersPerRack(WorkersPerRack)
                       .configuration(ConfigurationCodec::encode(Config))
                       .settings([](Settings::Builder &Options) {
                         // The harness lets hosts read the host list often;
                         // usage is measured at the default interval.
                         Options.logLevel(LogLevel::Warning)
                             .hostListInterval(Settings().HostListInterval);
                       })
                       .build();
  if (!Processes.ok())
    return Processes.status();
  return std::make_unique<ClusterDataCentreTestBed>(std::move(Config),
                                                    *std::move(Processes));
}

} // namespace vanillayard
