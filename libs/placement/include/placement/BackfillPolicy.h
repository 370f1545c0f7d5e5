#ifndef VANILLAYARD_PLACEMENT_BACKFILLPOLICY_H
#define VANILLAYARD_PLACEMENT_BACKFILLPOLICY_H

#include "placement/GangShape.h"

#include "absl/time/time.h"

#include <cstdint>
#include <span>

namespace vanillayard {

class Occupancy;

/// A gang in the queue.
struct WaitingGang {
  /// Any number that stays the same while the gang waits.
  uint64_t Id = 0;
  GangShape Shape;
  bool Reclaimable = false;
  /// Declared run time with the learnt correction; zero if unknown.
  absl::Duration ExpectedRunTime;
  absl::Time QueuedSince;
};

/// Decides which gangs may start before one that waits ahead of them. Used in
/// passes over the queue, in its order.
class BackfillPolicy {
public:
  virtual ~BackfillPolicy() = default;

  virtual void beginPass(const Occupancy &Held, absl::Time Now) = 0;

  /// Accelerators by worker index that \p Gang must leave to gangs ahead of
  /// it; empty for none. Valid until the next call.
  virtual std::span<const uint8_t> denied(const WaitingGang &Gang) = 0;

  /// Notes that \p Gang could not be placed.
  /// \param Ends expected end of each holder, by index.
  /// \returns whether gangs behind it may be tried in this pass.
  virtual bool onBlocked(const Occupancy &Held, const WaitingGang &Gang,
                         std::span<const absl::Time> Ends) = 0;

  /// Workers that are kept for \p Gang and accept no new work, because it has
  /// waited for the bound; empty otherwise.
  virtual std::span<const int> keptFor(const WaitingGang &Gang) const = 0;
};

} // namespace vanillayard

#endif
