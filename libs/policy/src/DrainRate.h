#ifndef VANILLAYARD_POLICY_DRAINRATE_H
#define VANILLAYARD_POLICY_DRAINRATE_H

#include "absl/time/time.h"

#include <cstddef>

namespace vanillayard {

/// Measures the rate at which a queue serves items, only while it has a
/// backlog. If idle time were counted, the result would be the arrival rate,
/// and the first burst after an idle period would be refused needlessly.
class DrainRate {
public:
  /// Records that an item was added.
  /// \param Backlog number of queued items after the change, here and below.
  void onPush(absl::Time Now, size_t Backlog);
  /// Records that an item was served.
  void onPop(absl::Time Now, size_t Backlog);
  /// Records that an item was removed without being served.
  void onRemove(absl::Time Now, size_t Backlog);

  /// Expected time to serve \p Items items.
  absl::Duration timeToServe(double Items, absl::Time Now) const;

private:
  void decay(absl::Time Now);
  void addBusyTime(absl::Time Now, size_t Backlog);

  /// Number of served items, exponentially decayed.
  double Pops = 0;
  /// Time during which there was a backlog, exponentially decayed.
  double BusySeconds = 0;
  absl::Time LastDecay = absl::InfinitePast();
  /// Start of the time with a backlog that is not yet in BusySeconds; infinite
  /// future while no backlog is known.
  absl::Time BusySince = absl::InfiniteFuture();
};

} // namespace vanillayard

#endif
