#ifndef VANILLAYARD_OBSERVE_HYBRIDLOGICALCLOCK_H
#define VANILLAYARD_OBSERVE_HYBRIDLOGICALCLOCK_H

#include "observe/HlcTime.h"

#include "absl/time/time.h"

namespace vanillayard {

class Executor;

/// Hybrid logical clock: its timestamps follow the causal order of events on
/// all hosts and stay close to the physical time of the Executor. See Kulkarni
/// et al., "Logical Physical Clocks", OPODIS 2014.
class HybridLogicalClock {
public:
  /// update() ignores a received timestamp that is further ahead of the
  /// physical time than this, so that one host with a wrong clock does not
  /// advance the clocks of all others.
  static constexpr absl::Duration MaxAhead = absl::Minutes(1);

  explicit HybridLogicalClock(const Executor &Exec) : Exec(Exec) {}

  /// Returns the timestamp of a local event or of a message to be sent.
  /// Successive results strictly increase.
  HlcTime now();

  /// Returns the timestamp of the receipt of a message that carries the
  /// timestamp \p Received. Successive results strictly increase and are later
  /// than \p Received unless that is more than MaxAhead ahead.
  HlcTime update(const HlcTime &Received);

  /// The timestamp that now() or update() returned last.
  const HlcTime &last() const { return this->Last; }

private:
  int64_t physicalUs() const;

  const Executor &Exec;
  HlcTime Last;
};

} // namespace vanillayard

#endif
