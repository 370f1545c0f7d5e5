#ifndef VANILLAYARD_CONFIG_SETTINGS_H
#define VANILLAYARD_CONFIG_SETTINGS_H

#include "base/Ids.h"
#include "config/PolicyChoices.h"
#include "observe/LogLevel.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace vanillayard {

/// Start-up settings of one daemon. They do not change while it runs.
///
/// With port 0 in a listen address, the kernel chooses the port.
struct Settings {
  class Builder;

  HostId Host;
  DataCentreId DataCentre;
  std::string Region;

  Endpoint CallerListen;
  Endpoint AdminListen;
  Endpoint PeerListen;
  /// Address at which peers reach this host. If empty, the bound address of
  /// PeerListen.
  Endpoint PeerAdvertise;
  std::vector<Endpoint> SeedPeers;

  Endpoint PlatformKeyValue;
  Endpoint PlatformHostList;
  /// Timeout of a call to the platform's key-value store or host list.
  absl::Duration PlatformTimeout = absl::Seconds(1);
  /// Interval between two reads of the host list.
  absl::Duration HostListInterval = absl::Seconds(5);

  /// Maximum traffic for polling workers, in bytes per second.
  int64_t ControlBytesPerSecond = 2048;

  /// Maximum size of a received request body in bytes. The operators'
  /// configuration may set a lower limit.
  int64_t MaxBodyBytes = 1 << 20;
  /// Timeout for receiving a request.
  absl::Duration RequestTimeout = absl::Seconds(10);
  /// Time that requests in progress have to finish in a graceful shutdown.
  absl::Duration ShutdownGrace = absl::Seconds(30);
  /// Time to live of a lease on a worker.
  absl::Duration LeaseTtl = absl::Seconds(10);
  /// Minimum interval between two polls of a worker.
  absl::Duration PollInterval = absl::Milliseconds(500);
  /// Delay of the local queue above which requests are forwarded.
  absl::Duration SpillOverDelay = absl::Milliseconds(500);

  QueueChoice Queue = QueueChoice::WeightedFair;
  WorkerSelectionChoice WorkerSelection = WorkerSelectionChoice::PowerOfTwo;
  PlacementChoice Placement = PlacementChoice::Cells;
  RetryChoice Retry = RetryChoice::Budget;
  LogLevel MinimumLogLevel = LogLevel::Info;

  /// Parses a JSON document. Refuses unknown properties and missing or
  /// out-of-range values.
  ///
  /// Error: InvalidRequest. Its message has one line for each invalid value,
  /// with the path to the value, the bound and the unit.
  static absl::StatusOr<Settings> parse(std::string_view Text);

  /// Returns a JSON document from which parse() restores these settings.
  std::string format() const;
};

} // namespace vanillayard

#endif
