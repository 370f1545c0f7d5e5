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

/// What one daemon is told at its start. Never changes while it runs.
///
/// Listen addresses may have port 0, in which case the kernel chooses.
struct Settings {
  class Builder;

  HostId Host;
  DataCentreId DataCentre;
  std::string Region;

  Endpoint CallerListen;
  Endpoint AdminListen;
  Endpoint PeerListen;
  /// Address at which peers reach this host. Empty: the bound address of
  /// PeerListen.
  Endpoint PeerAdvertise;
  std::vector<Endpoint> SeedPeers;

  Endpoint PlatformKeyValue;
  Endpoint PlatformHostList;
  /// Time after which a call of the platform fails.
  absl::Duration PlatformTimeout = absl::Seconds(1);
  /// Time between two reads of the host list.
  absl::Duration HostListInterval = absl::Seconds(5);

  /// Budget for polling workers, in bytes per second.
  int64_t ControlBytesPerSecond = 2048;

  /// Most bytes of a request body that is received. The operators'
  /// configuration may set a lower limit.
  int64_t MaxBodyBytes = 1 << 20;
  /// Time to receive a request.
  absl::Duration RequestTimeout = absl::Seconds(10);
  /// Time for requests in progress to end in a graceful shutdown.
  absl::Duration ShutdownGrace = absl::Seconds(30);
  /// Time to live of a lease on a worker.
  absl::Duration LeaseTtl = absl::Seconds(10);
  /// Shortest time between two polls of a worker.
  absl::Duration PollInterval = absl::Milliseconds(500);
  /// Delay of the local queue above which requests are forwarded.
  absl::Duration SpillOverDelay = absl::Milliseconds(500);

  QueueChoice Queue = QueueChoice::WeightedFair;
  WorkerSelectionChoice WorkerSelection = WorkerSelectionChoice::PowerOfTwo;
  PlacementChoice Placement = PlacementChoice::Cells;
  RetryChoice Retry = RetryChoice::Budget;
  LogLevel MinimumLogLevel = LogLevel::Info;

  /// Parses a JSON document. Unknown, missing and out-of-range values are
  /// refused.
  ///
  /// Error: InvalidArgument kind InvalidRequest. Its message has one line for
  /// each fault, which names the path to the value, the bound and the unit.
  static absl::StatusOr<Settings> parse(std::string_view Text);

  /// Writes a document that parse() reads back unchanged.
  std::string format() const;
};

} // namespace vanillayard

#endif
