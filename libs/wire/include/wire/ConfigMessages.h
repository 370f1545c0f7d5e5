#ifndef VANILLAYARD_WIRE_CONFIGMESSAGES_H
#define VANILLAYARD_WIRE_CONFIGMESSAGES_H

#include <cstdint>
#include <string>

namespace vanillayard {

/// Asks for a configuration of a higher generation than the sender's.
struct ConfigRequest {
  int64_t KnownGeneration = 0;

  friend bool operator==(const ConfigRequest &,
                         const ConfigRequest &) = default;
};

struct ConfigReply {
  /// 0 if the host has no configuration.
  int64_t Generation = 0;
  /// The configuration as JSON.
  std::string Document;

  friend bool operator==(const ConfigReply &, const ConfigReply &) = default;
};

} // namespace vanillayard

#endif
