#ifndef VANILLAYARD_POLICY_SLOTSHARE_H
#define VANILLAYARD_POLICY_SLOTSHARE_H

#include "absl/time/time.h"

namespace vanillayard {

/// Limits the share of a data centre's slots that one entry host fills with
/// work that is not urgent.
///
/// Several hosts dispatch to the same workers, and the worker states they know
/// are up to seconds old. Without a limit, each host fills all slots at the
/// start of a flood of requests, and urgent work then waits until the first
/// long tasks end. A host starts with an equal share. The share grows slowly
/// while requests wait because of it and other hosts leave slots free.
class SlotShare {
public:
  /// Growth of the share per second. The worker states and the loads of other
  /// hosts are a second old, so faster growth would exceed the free slots.
  static constexpr double GrowthPerSecond = 0.05;

  struct Sample {
    /// Live entry hosts of the data centre, this one included.
    int Hosts = 1;
    /// Other hosts with queued requests.
    int OtherHostsWithBacklog = 0;
    /// Free slots as a share of all slots of the data centre.
    double FreeShare = 1;
    /// Share of slots reserved for urgent work.
    double UrgentReserve = 0;
    /// Requests wait on this host because its share is used up.
    bool IsBinding = false;
  };

  /// Updates the share from the current state of the data centre.
  /// \returns the new share, at least 1 / Hosts and at most 1.
  double update(const Sample &Seen, absl::Time Now);

  /// Current share, from 0 to 1.
  double value() const { return this->Share; }

private:
  double Share = 1;
  absl::Time LastUpdate = absl::InfinitePast();
};

} // namespace vanillayard

#endif
