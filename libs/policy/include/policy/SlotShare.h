#ifndef VANILLAYARD_POLICY_SLOTSHARE_H
#define VANILLAYARD_POLICY_SLOTSHARE_H

#include "absl/time/time.h"

namespace vanillayard {

/// Share of a data centre's slots that one entry host fills with work that is
/// not urgent.
///
/// Several hosts dispatch to the same workers with views that are up to
/// seconds old. Without a share of its own, each of them fills all slots at
/// the start of a flood, and urgent work then waits for the end of the first
/// long tasks. A host starts with an equal share and takes more, slowly, while
/// its share binds and other hosts leave slots free.
class SlotShare {
public:
  /// Growth of the share in one second. Views and loads of other hosts are a
  /// second old, so a faster growth would pass the free slots.
  static constexpr double GrowthPerSecond = 0.05;

  struct Sample {
    /// Live entry hosts of the data centre, this one included.
    int Hosts = 1;
    /// Other hosts with queued requests.
    int HostsWithBacklog = 0;
    /// Free slots as a share of all slots of the data centre.
    double FreeShare = 1;
    /// Share of slots kept for urgent work.
    double UrgentReserve = 0;
    /// Whether requests wait here because the share is used up.
    bool IsBinding = false;
  };

  /// \returns the share from now on, at least 1 / Hosts and at most 1.
  double update(const Sample &Seen, absl::Time Now);

  double value() const { return this->Share; }

private:
  double Share = 1;
  absl::Time LastUpdate = absl::InfinitePast();
};

} // namespace vanillayard

#endif
