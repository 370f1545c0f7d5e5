#ifndef VANILLAYARD_OBSERVE_HYBRIDLOGICALCLOCK_H
#define VANILLAYARD_OBSERVE_HYBRIDLOGICALCLOCK_H

#include "observe/HlcTime.h"

#include "absl/time/time.h"

namespace vanillayard {

class Executor;

/// A clock whose readings respect cause and effect between hosts and stay
/// close to the physical time of the Executor.
class HybridLogicalClock {
public:
  /// A received time further ahead than this is not taken over, so that one
  /// host with a wrong clock does not move the clocks of all others.
  static constexpr absl::Duration MaxAhead = absl::Minutes(1);

  explicit HybridLogicalClock(const Executor &Exec) : Exec(Exec) {}

  /// Time of a local event or of a message that is sent. Strictly increases.
  HlcTime now();

  /// Time of the receipt of a message sent at \p Received. Strictly increases
  /// and is later than \p Received unless that is more than MaxAhead ahead.
  HlcTime update(const HlcTime &Received);

  /// The last reading given.
  const HlcTime &last() const { return this->Last; }

private:
  int64_t physicalUs() const;

  const Executor &Exec;
  HlcTime Last;
};

} // namespace vanillayard

#endif
