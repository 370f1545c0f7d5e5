#ifndef VANILLAYARD_WIRE_LOADSUMMARY_H
#define VANILLAYARD_WIRE_LOADSUMMARY_H

#include "absl/time/time.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace vanillayard {

/// Load of one host: its own queues and the workers that it polls. Summaries
/// of the hosts of a data centre add up to that of the data centre.
struct LoadSummary {
  /// Queued short requests by urgency of their kind.
  int64_t QueuedUrgent = 0;
  int64_t QueuedNormal = 0;
  int64_t QueuedDeferrable = 0;
  int64_t FreeSlots = 0;
  int64_t TotalSlots = 0;
  int64_t FreeAccelerators = 0;
  /// Longest time that a new request waits at present, in whole milliseconds.
  absl::Duration QueueDelay;
  /// Number of accelerators of the largest gang that could start now.
  int64_t LargestStartableGang = 0;

  friend bool operator==(const LoadSummary &, const LoadSummary &) = default;

  /// Adds the load of another host: sums the counts, up to the largest 64-bit
  /// number, and takes the larger delay and the larger gang size. No count may
  /// be negative.
  void add(const LoadSummary &Other) {
    auto Add = [](int64_t &Sum, int64_t Count) {
      Sum += std::min(Count, std::numeric_limits<int64_t>::max() - Sum);
    };
    Add(this->QueuedUrgent, Other.QueuedUrgent);
    Add(this->QueuedNormal, Other.QueuedNormal);
    Add(this->QueuedDeferrable, Other.QueuedDeferrable);
    Add(this->FreeSlots, Other.FreeSlots);
    Add(this->TotalSlots, Other.TotalSlots);
    Add(this->FreeAccelerators, Other.FreeAccelerators);
    this->QueueDelay = std::max(this->QueueDelay, Other.QueueDelay);
    this->LargestStartableGang =
        std::max(this->LargestStartableGang, Other.LargestStartableGang);
  }
};

} // namespace vanillayard

#endif
