#ifndef VANILLAYARD_FLEET_WORKERREGISTRATION_H
#define VANILLAYARD_FLEET_WORKERREGISTRATION_H

#include "base/Ids.h"
#include "fleet/Resources.h"

#include "absl/status/status.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace vanillayard {

/// Registration of a worker.
struct WorkerRegistration {
  /// Longest id of a worker.
  static constexpr size_t MaxIdBytes = 128;
  /// Longest time that a worker's clock can show.
  static constexpr absl::Duration MaxClock = absl::Hours(24 * 365 * 10);
  /// Latest possible incarnation: the last millisecond of the year 9999.
  static constexpr int64_t MaxIncarnation = 253402300799999;

  WorkerId Id;
  Endpoint Address;
  DataCentreId DataCentre;
  RackId Rack;
  /// Pool of workers that it belongs to.
  std::string WorkerPool;
  Resources Capacity;
  std::vector<std::string> Labels;
  /// Accepts no new tasks; its running tasks may continue for a while.
  bool IsDraining = false;
  /// Start of this incarnation in milliseconds since the Unix epoch (1970); 0
  /// if not reported.
  int64_t Incarnation = 0;
  /// Time since the start of the incarnation, by the worker's clock, when it
  /// wrote the registration.
  absl::Duration Clock = absl::ZeroDuration();
};

/// Checks a registration that was read from the store, where other programs may
/// write too. The id must be printable ASCII without spaces, because it is sent
/// in a header and kept in a record with one id per line. Error:
/// InvalidRequest.
absl::Status validate(const WorkerRegistration &Registration);

} // namespace vanillayard

#endif
