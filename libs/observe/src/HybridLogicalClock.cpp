#include "observe/HybridLogicalClock.h"

#include "base/Executor.h"

#include <algorithm>

namespace vanillayard {

int64_t HybridLogicalClock::physicalUs() const {
  return absl::ToUnixMicros(this->Exec.now());
}

HlcTime HybridLogicalClock::now() {
  int64_t Physical = this->physicalUs();
  if (Physical > this->Last.PhysicalUs)
    this->Last = {Physical, 0};
  else
    ++this->Last.Logical;
  return this->Last;
}

HlcTime HybridLogicalClock::update(const HlcTime &Received) {
  int64_t Limit = this->physicalUs() + absl::ToInt64Microseconds(MaxAhead);
  if (Received.PhysicalUs <= Limit)
    this->Last = std::max(this->Last, Received);
  return this->now();
}

} // namespace vanillayard
