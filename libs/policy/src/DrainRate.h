#ifndef VANILLAYARD_POLICY_DRAINRATE_H
#define VANILLAYARD_POLICY_DRAINRATE_H

#include "absl/time/time.h"

#include <cstddef>

namespace vanillayard {

/// Rate at which a queue is emptied, measured only while it has a backlog. A
/// rate that counted idle time would be the arrival rate, and the first burst
/// after a quiet period would be refused without need.
class DrainRate {
public:
  /// \param Backlog items that wait after the change.
  void onPush(absl::Time Now, size_t Backlog);
  void onPop(absl::Time Now, size_t Backlog);
  /// An item left without being served.
  void onRemove(absl::Time Now, size_t Backlog);

  /// Expected time to serve \p Items items.
  absl::Duration timeFor(double Items, absl::Time Now) const;

private:
  void decay(absl::Time Now);
  void addBusyTime(absl::Time Now, size_t Backlog);

  double Pops = 0;
  double BusySeconds = 0;
  absl::Time LastDecay = absl::InfinitePast();
  /// Start of the interval that is not yet in BusySeconds.
  absl::Time BusySince = absl::InfiniteFuture();
};

} // namespace vanillayard

#endif
