#ifndef VANILLAYARD_BASE_BOOTCLOCK_H
#define VANILLAYARD_BASE_BOOTCLOCK_H

#include "absl/time/time.h"

namespace vanillayard {

/// A monotonic clock that advances while the machine is suspended; the clock of
/// Executor::now() stops meanwhile. Used to decide whether a lease whose expiry
/// another process measures is still valid.
class BootClock {
public:
  virtual ~BootClock() = default;

  /// Time since an arbitrary fixed point.
  virtual absl::Duration now() const = 0;
};

} // namespace vanillayard

#endif
