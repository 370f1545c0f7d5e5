#ifndef VANILLAYARD_CONFIGSYNC_CONFIGURATIONPEERS_H
#define VANILLAYARD_CONFIGSYNC_CONFIGURATIONPEERS_H

#include "base/Ids.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <functional>
#include <string>

namespace vanillayard {

/// Port for reading the configuration document of another entry host.
class ConfigurationPeers {
public:
  using Callback = std::function<void(absl::StatusOr<std::string> Document)>;

  virtual ~ConfigurationPeers() = default;

  /// Asks \p Host for its document. \p Done runs once, on the executor, and
  /// never from inside the call.
  /// \param KnownGeneration generation in force on this host; 0 if there is
  ///        none.
  virtual void fetchDocument(const HostId &Host, int64_t KnownGeneration,
                             Callback Done) = 0;
};

} // namespace vanillayard

#endif
