#include "ClusterFleetBed.h"

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

ClusterFleetBed::ClusterFleetBed(Configuration Config,
                                 std::unique_ptr<Cluster> Processes)
    : Config(std::move(Config)), Processes(std::move(Processes)) {}

ClusterFleetBed::~ClusterFleetBed() = default;

std::vector<Endpoint> ClusterFleetBed::callerAddresses() const {
  std::vector<Endpoint> Addresses;
  for (size_t I = 0; I < this->Processes->hostCount(); ++I)
    Addresses.push_back(this->Processes->host(I).Caller);
  return Addresses;
}

std::vector<Endpoint> ClusterFleetBed::adminAddresses() const {
  std::vector<Endpoint> Addresses;
  for (size_t I = 0; I < this->Processes->hostCount(); ++I)
    Addresses.push_back(this->Processes->host(I).Admin);
  return Addresses;
}

absl::StatusOr<ProcessUsage> ClusterFleetBed::usageOf(size_t Host) {
  return ProcessUsage::of(this->Processes->host(Host).Running->id());
}

absl::Status ClusterFleetBed::killHost(size_t Host) {
  this->Processes->host(Host).Running->kill();
  return this->Processes->host(Host).Running->waitForExit().status();
}

absl::StatusOr<int64_t> ClusterFleetBed::changeConfiguration() {
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
    return absl::InternalError("the configuration was not written: " +
                               Answer->Body);
  return this->Config.Generation;
}

static Configuration configurationFor(const FleetSize &Size) {
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

absl::StatusOr<std::unique_ptr<FleetBed>>
ClusterFleetBedFactory::start(const FleetSize &Size) {
  constexpr int WorkersPerRack = 8;
  Configuration Config = configurationFor(Size);
  auto Processes = Cluster::Builder()
                       .hostsPerDataCentre(Size.Hosts)
                       .workersPerDataCentre(Size.Workers)
                       .workersPerRack(WorkersPerRack)
                       .configuration(ConfigurationCodec::encode(Config))
                       .settings([](Settings::Builder &Options) {
                         // The harness reads the host list often; its cost is
                         // measured at the default interval.
                         Options.logLevel(LogLevel::Warning)
                             .hostListInterval(Settings().HostListInterval);
                       })
                       .build();
  if (!Processes.ok())
    return Processes.status();
  return std::make_unique<ClusterFleetBed>(std::move(Config),
                                           *std::move(Processes));
}

} // namespace vanillayard
