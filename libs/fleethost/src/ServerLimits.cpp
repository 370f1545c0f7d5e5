#include "ServerLimits.h"

#include "fleethost/FleetHostOptions.h"

#include <algorithm>

namespace vanillayard {

/// Descriptors that the platform reserves for files.
static constexpr size_t FileReserve = 200;
static constexpr size_t MinCallerConnections = 16;
static constexpr size_t CallerDescriptorDivisor = 2;
static constexpr size_t InputMemoryDivisor = 8;
/// Room for one body of the largest size that a configuration can allow, with
/// an input buffer that has grown by doubling.
static constexpr size_t MinInputBytes = 4 << 20;
static constexpr size_t ControlConnections = 64;
static constexpr size_t ControlInputBytes = 1 << 20;

ConnectionLimits callerServerLimits(const FleetHostOptions &Options) {
  size_t ForSockets =
      Options.FileDescriptors - std::min(Options.FileDescriptors, FileReserve);
  return {std::max(ForSockets / CallerDescriptorDivisor, MinCallerConnections),
          std::max(Options.MemoryBytes / InputMemoryDivisor, MinInputBytes)};
}

ConnectionLimits controlServerLimits() {
  return {ControlConnections, ControlInputBytes};
}

} // namespace vanillayard
