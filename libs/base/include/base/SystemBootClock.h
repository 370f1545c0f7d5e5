#ifndef VANILLAYARD_BASE_SYSTEMBOOTCLOCK_H
#define VANILLAYARD_BASE_SYSTEMBOOTCLOCK_H

#include "base/BootClock.h"

namespace vanillayard {

/// BootClock of the operating system (CLOCK_BOOTTIME).
class SystemBootClock final : public BootClock {
public:
  absl::Duration now() const override;
};

} // namespace vanillayard

#endif
