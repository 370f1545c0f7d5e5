#ifndef VANILLAYARD_POLICY_DEADLINEWHEEL_H
#define VANILLAYARD_POLICY_DEADLINEWHEEL_H

#include "absl/time/time.h"

#include <cstdint>
#include <vector>

namespace vanillayard {

/// Finds entries whose deadline passed. Adding and removing take constant
/// time; a deadline is noticed at most one tick late. Entries are indexes
/// chosen by the owner.
class DeadlineWheel {
public:
  static constexpr uint32_t None = UINT32_MAX;

  DeadlineWheel();

  void add(uint32_t Entry, absl::Time Deadline);
  void remove(uint32_t Entry);

  /// Returns an entry that has expired, or None. The entry stays until it is
  /// removed.
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
  /// All buckets before this tick hold no expired entry.
  int64_t Cursor = INT64_MIN;
  /// Where the search in the bucket of the cursor goes on.
  uint32_t Resume = None;
};

} // namespace vanillayard

#endif
