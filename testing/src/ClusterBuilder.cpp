#include "testing/Cluster.h"

namespace vanillayard {

using Builder = Cluster::Builder;

Builder &Builder::dataCentres(int Value) {
  this->DataCentres = Value;
  return *this;
}

Builder &Builder::hostsPerDataCentre(int Value) {
  this->HostsPerDataCentre = Value;
  return *this;
}

Builder &Builder::workersPerDataCentre(int Value) {
  this->WorkersPerDataCentre = Value;
  return *this;
}

Builder &Builder::hostsByDataCentre(std::vector<int> Values) {
  this->DataCentres = static_cast<int>(Values.size());
  this->HostsByDataCentre = std::move(Values);
  return *this;
}

Builder &Builder::workersByDataCentre(std::vector<int> Values) {
  this->DataCentres = static_cast<int>(Values.size());
  this->WorkersByDataCentre = std::move(Values);
  return *this;
}

Builder &Builder::workersPerRack(int Value) {
  this->WorkersPerRack = Value;
  return *this;
}

Builder &Builder::workersPerProcess(int Value) {
  this->WorkersPerProcess = Value;
  return *this;
}

Builder &Builder::configuration(std::string Text) {
  this->Configuration = std::move(Text);
  return *this;
}

Builder &Builder::settings(std::function<void(Settings::Builder &)> Change) {
  this->ChangeSettings = std::move(Change);
  return *this;
}

absl::StatusOr<std::unique_ptr<Cluster>> Builder::build() {
  std::unique_ptr<Cluster> Built(new Cluster(*this));
  absl::Status Started = Built->startAll();
  if (Started.ok())
    return Built;
  Built->showOutput();
  return Started;
}

} // namespace vanillayard
