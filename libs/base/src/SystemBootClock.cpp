#include "base/SystemBootClock.h"

#include <ctime>

namespace vanillayard {

absl::Duration SystemBootClock::now() const {
  timespec Now = {};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return absl::DurationFromTimespec(Now);
}

} // namespace vanillayard
