#ifndef VANILLAYARD_POLICY_DATACENTRESELECTOR_H
#define VANILLAYARD_POLICY_DATACENTRESELECTOR_H

#include "base/Ids.h"
#include "policy/PolicyNames.h"

#include "absl/time/time.h"

#include <memory>
#include <optional>
#include <span>

namespace vanillayard {

/// Load of another data centre as its hosts reported it.
struct DataCentreLoad {
  DataCentreId DataCentre;
  /// Time that a new request waits there.
  absl::Duration QueueDelay;
  /// When the report was made.
  absl::Time Reported;
  /// A host there can be reached.
  bool Reachable = false;
};

/// Chooses the data centre of a short request.
class DataCentreSelector {
public:
  virtual ~DataCentreSelector() = default;

  static std::unique_ptr<DataCentreSelector> create(DataCentreChoice Choice,
                                                    uint64_t Seed);

  /// \param LocalDelay time that the request would wait here.
  /// \returns the data centre to forward to, or nothing for the local one.
  virtual std::optional<DataCentreId>
  pick(absl::Duration LocalDelay, std::span<const DataCentreLoad> Others,
       absl::Time Now) = 0;
};

} // namespace vanillayard

#endif
