#ifndef VANILLAYARD_FLEETHOST_SRC_SERVERLIMITS_H
#define VANILLAYARD_FLEETHOST_SRC_SERVERLIMITS_H

#include "net/ConnectionLimits.h"

namespace vanillayard {

struct FleetHostOptions;

/// Limits of the server for callers, from the memory and the descriptors of the
/// machine: half of the descriptors that are left for sockets, and an eighth of
/// the memory for requests in progress. The rest is for the connections to the
/// store, to workers and between hosts, and for the leader's state.
ConnectionLimits callerServerLimits(const FleetHostOptions &Options);

/// Limits of the servers for the readiness check and for metrics, which have
/// few clients and no request bodies.
ConnectionLimits controlServerLimits();

/// Largest request body that the readiness and metrics servers read, in bytes.
inline constexpr size_t MaxControlBodyBytes = 4096;

} // namespace vanillayard

#endif
