#ifndef VANILLAYARD_PLACEMENT_BACKFILLPOLICY_H
#define VANILLAYARD_PLACEMENT_BACKFILLPOLICY_H

#include "placement/GangShape.h"

#include "absl/time/time.h"

#include <cstdint>
#include <span>

namespace vanillayard {

class Occupancy;

/// A gang that waits in the queue.
struct WaitingGang {
  /// Identifies the gang; must not change while it waits.
  uint64_t Id = 0;
  GangShape Shape;
  bool Reclaimable = false;
  /// Declared run time, corrected by RunTimeCorrection; zero if unknown.
  absl::Duration ExpectedRunTime;
  absl::Time QueuedSince;
};

/// Decides which gangs may start before a blocked gang that is ahead of them in
/// the queue. In each scheduling pass, the caller calls beginPass() once and
/// then visits the waiting gangs in queue order.
class BackfillPolicy {
public:
  virtual ~BackfillPolicy() = default;

  virtual void beginPass(const Occupancy &Occ, absl::Time Now) = 0;

  /// \returns the accelerators by worker index that \p Gang must not use,
  ///          because they are reserved for other gangs; empty for none. Valid
  ///          until the next call.
  virtual std::span<const uint8_t> deniedMasks(const WaitingGang &Gang) = 0;

  /// Called when \p Gang could not be placed.
  /// \param Ends expected end of each holder, by holder index.
  /// \returns whether gangs behind it may be tried in this pass.
  virtual bool onBlocked(const Occupancy &Occ, const WaitingGang &Gang,
                         std::span<const absl::Time> Ends) = 0;

  /// \returns the indexes of the workers that are kept for \p Gang, because it
  ///          has waited for the maximum gang wait, and that accept no other
  ///          new work; empty if none are kept.
  virtual std::span<const int>
  workersKeptFor(const WaitingGang &Gang) const = 0;
};

} // namespace vanillayard

#endif
