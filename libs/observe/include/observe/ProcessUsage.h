#ifndef VANILLAYARD_OBSERVE_PROCESSUSAGE_H
#define VANILLAYARD_OBSERVE_PROCESSUSAGE_H

#include <cstdint>
#include <optional>

namespace vanillayard {

/// Resources that this process uses, read from /proc/self.
struct ProcessUsage {
  /// Empty if /proc/self/statm cannot be read.
  std::optional<int64_t> ResidentBytes;
  /// Number of open file descriptors. Empty if /proc/self/fd cannot be read.
  std::optional<int64_t> OpenDescriptors;

  static ProcessUsage read();
};

} // namespace vanillayard

#endif
