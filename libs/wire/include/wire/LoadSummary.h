#ifndef VANILLAYARD_WIRE_LOADSUMMARY_H
#define VANILLAYARD_WIRE_LOADSUMMARY_H

#include "absl/time/time.h"

#include <algorithm>
#include <cstdint>

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

  /// Adds the load of another host: sums the counts and takes the larger delay
  /// and the larger gang size.
  void add(const LoadSummary &Other) {
    this->QueuedUrgent += Other.QueuedUrgent;
    this->QueuedNormal += Other.QueuedNormal;
    this->QueuedDeferrable += Other.QueuedDeferrable;
    this->FreeSlots += Other.FreeSlots;
    this->TotalSlots += Other.TotalSlots;
    this->FreeAccelerators += Other.FreeAccelerators;
    this->QueueDelay = std::max(this->QueueDelay, Other.QueueDelay);
    this->LargestStartableGang =
        std::max(this->LargestStartableGang, Other.LargestStartableGang);
  }
};

} // namespace vanillayard

#endif
