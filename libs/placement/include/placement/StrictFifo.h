#ifndef VANILLAYARD_PLACEMENT_STRICTFIFO_H
#define VANILLAYARD_PLACEMENT_STRICTFIFO_H

#include "placement/BackfillPolicy.h"

namespace vanillayard {

/// Baseline policy without backfill: no gang starts before a blocked gang that
/// is ahead of it in the queue.
class StrictFifo final : public BackfillPolicy {
public:
  void beginPass(const Occupancy &, absl::Time) override {}
  std::span<const uint8_t> deniedMasks(const WaitingGang &) override {
    return {};
  }
  bool onBlocked(const Occupancy &, const WaitingGang &,
                 std::span<const absl::Time>) override {
    return false;
  }
  std::span<const int> workersKeptFor(const WaitingGang &) const override {
    return {};
  }
};

} // namespace vanillayard

#endif
