#ifndef VANILLAYARD_POLICY_DATACENTRESELECTOR_H
#define VANILLAYARD_POLICY_DATACENTRESELECTOR_H

#include "base/Ids.h"
#include "policy/PolicyNames.h"

#include "absl/time/time.h"

#include <memory>
#include <optional>
#include <span>

namespace vanillayard {

/// Load of another data centre, as reported by its hosts.
struct DataCentreLoad {
  DataCentreId DataCentre;
  /// Time that a new request waits in the queue there.
  absl::Duration QueueDelay;
  /// Time of the report.
  absl::Time ReportTime;
  /// At least one host there can be reached.
  bool Reachable = false;
};

/// Chooses the data centre that runs a short request.
class DataCentreSelector {
public:
  virtual ~DataCentreSelector() = default;

  static std::unique_ptr<DataCentreSelector> create(DataCentreChoice Choice,
                                                    uint64_t Seed);

  /// \param LocalDelay time that the request would wait in the local queue.
  /// \returns the data centre to forward the request to, or nothing to run it
  ///          locally.
  virtual std::optional<DataCentreId>
  pick(absl::Duration LocalDelay, std::span<const DataCentreLoad> Others,
       absl::Time Now) = 0;
};

} // namespace vanillayard

#endif
