#ifndef VANILLAYARD_POLICY_DEADLINEWHEEL_H
#define VANILLAYARD_POLICY_DEADLINEWHEEL_H

#include "absl/time/time.h"

#include <cstdint>
#include <vector>

namespace vanillayard {

/// Hashed timing wheel that finds entries whose deadline has passed. Adding and
/// removing an entry take constant time. An expired entry is found at most one
/// tick (50 ms) late. The caller identifies entries by indexes of its choice.
class DeadlineWheel {
public:
  static constexpr uint32_t None = UINT32_MAX;

  DeadlineWheel();

  void add(uint32_t Entry, absl::Time Deadline);
  void remove(uint32_t Entry);

  /// Returns an entry whose deadline has passed, or None. The entry stays in
  /// the wheel until remove() is called.
  uint32_t findExpired(absl::Time Now);

private:
  struct Link {
    uint32_t Previous = None;
    uint32_t Next = None;
    uint32_t Bucket = None;
    int64_t DueTick = 0;
  };

  std::vector<uint32_t> Buckets;
  std::vector<Link> Links;
  /// Tick of the bucket that is searched. The buckets of all earlier ticks hold
  /// no expired entry.
  int64_t Cursor = INT64_MIN;
  /// Entry in the bucket of the cursor at which the search continues.
  uint32_t NextCandidate = None;
};

} // namespace vanillayard

#endif
