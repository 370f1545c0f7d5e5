#ifndef VANILLAYARD_CONTROL_WORKERDIRECTORY_H
#define VANILLAYARD_CONTROL_WORKERDIRECTORY_H

#include "fleet/WorkerRegistration.h"

#include "absl/status/statusor.h"

#include <functional>
#include <vector>

namespace vanillayard {

/// Port for the workers' registrations. If a worker is missing from the result,
/// it has left or its registration has expired. Implementations omit entries
/// that they cannot decode.
class WorkerDirectory {
public:
  using Callback =
      std::function<void(absl::StatusOr<std::vector<WorkerRegistration>>)>;

  virtual ~WorkerDirectory() = default;

  /// Reads all entries. Errors: PlatformUnavailable, OutcomeUnknown.
  virtual void fetch(Callback Done) = 0;
};

} // namespace vanillayard

#endif
