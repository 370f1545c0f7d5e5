#ifndef VANILLAYARD_OBSERVE_PROCESSUSAGE_H
#define VANILLAYARD_OBSERVE_PROCESSUSAGE_H

#include <cstdint>
#include <optional>

namespace vanillayard {

/// What this process uses of its machine, from /proc/self.
struct ProcessUsage {
  /// Empty where the system does not tell.
  std::optional<int64_t> ResidentBytes;
  std::optional<int64_t> OpenDescriptors;

  static ProcessUsage read();
};

} // namespace vanillayard

#endif
