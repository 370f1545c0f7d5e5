#ifndef VANILLAYARD_PLACEMENT_RECLAIMPLANNER_H
#define VANILLAYARD_PLACEMENT_RECLAIMPLANNER_H

#include "placement/GangShape.h"

#include "absl/time/time.h"

#include <vector>

namespace vanillayard {

class Occupancy;

/// Selects the gangs to stop in order to give guaranteed accelerators back to
/// their account. A victim is always stopped as a whole, so its cost counts
/// once, however many of its accelerators are needed.
class ReclaimPlanner {
public:
  /// Cost of freeing accelerators. Costs are ordered by lost work, then by the
  /// run time of the oldest victim, so that the youngest of equal gangs is
  /// stopped.
  struct Cost {
    /// Accelerator-seconds.
    double LostWork = 0;
    absl::Duration OldestRunTime;

    friend bool operator<(const Cost &A, const Cost &B) {
      if (A.LostWork != B.LostWork)
        return A.LostWork < B.LostWork;
      return A.OldestRunTime < B.OldestRunTime;
    }
  };

  absl::Time now() const { return this->Now; }

  /// Clears the victims and sets the time from which run times are computed.
  void reset(absl::Time Now);

  /// Cost of freeing \p Place, not counting the victims selected so far. The
  /// cost is not divided by the number of accelerators, because the same number
  /// is freed whichever victims are chosen.
  Cost costOf(const Occupancy &Occ, const MemberPlace &Place) const;

  /// Adds the holders of \p Place to the victims.
  void selectVictims(const Occupancy &Occ, const MemberPlace &Place);

  /// Indexes of the holders to stop, each as a whole gang.
  const std::vector<int> &victims() const { return this->Victims; }

private:
  bool isVictim(int Holder) const;

  absl::Time Now;
  std::vector<int> Victims;
};

} // namespace vanillayard

#endif
