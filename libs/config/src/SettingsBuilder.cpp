#include "config/SettingsBuilder.h"

#include <utility>

namespace vanillayard {

using Builder = Settings::Builder;

Builder &Builder::region(std::string Value) {
  this->Result.Region = std::move(Value);
  return *this;
}

Builder &Builder::callerListen(Endpoint Value) {
  this->Result.CallerListen = std::move(Value);
  return *this;
}

Builder &Builder::adminListen(Endpoint Value) {
  this->Result.AdminListen = std::move(Value);
  return *this;
}

Builder &Builder::peerListen(Endpoint Value) {
  this->Result.PeerListen = std::move(Value);
  return *this;
}

Builder &Builder::peerAdvertise(Endpoint Value) {
  this->Result.PeerAdvertise = std::move(Value);
  return *this;
}

Builder &Builder::seedPeers(std::vector<Endpoint> Value) {
  this->Result.SeedPeers = std::move(Value);
  return *this;
}

Builder &Builder::platformKeyValue(Endpoint Value) {
  this->Result.PlatformKeyValue = std::move(Value);
  return *this;
}

Builder &Builder::platformHostList(Endpoint Value) {
  this->Result.PlatformHostList = std::move(Value);
  return *this;
}

Builder &Builder::platformTimeout(absl::Duration Value) {
  this->Result.PlatformTimeout = Value;
  return *this;
}

Builder &Builder::hostListInterval(absl::Duration Value) {
  this->Result.HostListInterval = Value;
  return *this;
}

Builder &Builder::controlBytesPerSecond(int64_t Value) {
  this->Result.ControlBytesPerSecond = Value;
  return *this;
}

Builder &Builder::maxBodyBytes(int64_t Value) {
  this->Result.MaxBodyBytes = Value;
  return *this;
}

Builder &Builder::requestTimeout(absl::Duration Value) {
  this->Result.RequestTimeout = Value;
  return *this;
}

Builder &Builder::shutdownGrace(absl::Duration Value) {
  this->Result.ShutdownGrace = Value;
  return *this;
}

Builder &Builder::leaseTtl(absl::Duration Value) {
  this->Result.LeaseTtl = Value;
  return *this;
}

Builder &Builder::pollInterval(absl::Duration Value) {
  this->Result.PollInterval = Value;
  return *this;
}

Builder &Builder::spillOverDelay(absl::Duration Value) {
  this->Result.SpillOverDelay = Value;
  return *this;
}

Builder &Builder::queue(QueueChoice Value) {
  this->Result.Queue = Value;
  return *this;
}

Builder &Builder::workerSelection(WorkerSelectionChoice Value) {
  this->Result.WorkerSelection = Value;
  return *this;
}

Builder &Builder::placement(PlacementChoice Value) {
  this->Result.Placement = Value;
  return *this;
}

Builder &Builder::retry(RetryChoice Value) {
  this->Result.Retry = Value;
  return *this;
}

Builder &Builder::logLevel(LogLevel Value) {
  this->Result.MinimumLogLevel = Value;
  return *this;
}

Builder &Builder::listen(const Endpoint &Value) {
  return this->callerListen(Value).adminListen(Value).peerListen(Value);
}

Builder &Builder::platform(const Endpoint &Value) {
  return this->platformKeyValue(Value).platformHostList(Value);
}

absl::StatusOr<Settings> Builder::build() const {
  return Settings::parse(this->Result.format());
}

} // namespace vanillayard
