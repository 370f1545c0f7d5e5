#ifndef VANILLAYARD_CONFIG_SETTINGSBUILDER_H
#define VANILLAYARD_CONFIG_SETTINGSBUILDER_H

#include "config/Settings.h"

#include <utility>

namespace vanillayard {

/// Builds settings in code. The defaults are those of Settings.
///
/// \code
///   auto Built = Settings::Builder(HostId("dc1-e1"), DataCentreId("dc1"))
///                    .region("north")
///                    .listen(Endpoint("127.0.0.1:0"))
///                    .platform(Endpoint("127.0.0.1:2379"))
///                    .queue(QueueChoice::Fifo)
///                    .build();
/// \endcode
class Settings::Builder {
public:
  Builder(HostId Host, DataCentreId DataCentre) {
    this->Result.Host = std::move(Host);
    this->Result.DataCentre = std::move(DataCentre);
  }

  /// Required.
  Builder &region(std::string Value);
  /// Sets the same address for all three listeners, which is only useful
  /// with port 0.
  Builder &listen(const Endpoint &Value);
  Builder &callerListen(Endpoint Value);
  Builder &adminListen(Endpoint Value);
  Builder &peerListen(Endpoint Value);
  Builder &peerAdvertise(Endpoint Value);
  Builder &seedPeers(std::vector<Endpoint> Value);
  /// Sets the same address for the key-value service and the host list.
  Builder &platform(const Endpoint &Value);
  Builder &platformKeyValue(Endpoint Value);
  Builder &platformHostList(Endpoint Value);
  Builder &platformTimeout(absl::Duration Value);
  Builder &hostListInterval(absl::Duration Value);
  /// Bytes per second.
  Builder &controlBytesPerSecond(int64_t Value);
  /// Bytes.
  Builder &maxBodyBytes(int64_t Value);
  Builder &requestTimeout(absl::Duration Value);
  Builder &shutdownGrace(absl::Duration Value);
  Builder &leaseTtl(absl::Duration Value);
  Builder &pollInterval(absl::Duration Value);
  Builder &spillOverDelay(absl::Duration Value);
  Builder &queue(QueueChoice Value);
  Builder &workerSelection(WorkerSelectionChoice Value);
  Builder &placement(PlacementChoice Value);
  Builder &retry(RetryChoice Value);
  Builder &logLevel(LogLevel Value);

  /// Checks all values. Error: as for Settings::parse().
  absl::StatusOr<Settings> build() const;

private:
  Settings Result;
};

} // namespace vanillayard

#endif
