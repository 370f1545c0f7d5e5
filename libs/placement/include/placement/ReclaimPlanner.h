#ifndef VANILLAYARD_PLACEMENT_RECLAIMPLANNER_H
#define VANILLAYARD_PLACEMENT_RECLAIMPLANNER_H

#include "placement/GangShape.h"

#include "absl/time/time.h"

#include <vector>

namespace vanillayard {

class Occupancy;

/// Selects gangs that are stopped to give guaranteed accelerators back. A
/// victim is always stopped as a whole, so its cost counts once, whatever
/// number of its accelerators is needed.
class ReclaimPlanner {
public:
  /// What it costs to free accelerators: lost work, then the start of the
  /// oldest victim, so that young gangs are preferred among equals.
  struct Cost {
    double LostWork = 0;
    absl::Duration OldestRunTime;

    friend bool operator<(const Cost &A, const Cost &B) {
      if (A.LostWork != B.LostWork)
        return A.LostWork < B.LostWork;
      return A.OldestRunTime < B.OldestRunTime;
    }
  };

  absl::Time now() const { return this->Now; }

  /// Forgets the victims of the last plan.
  void reset(absl::Time Now);

  /// Cost of freeing \p Place beyond the victims selected so far. The same
  /// accelerators are freed whichever victims are chosen, so the cost is not
  /// divided by their number.
  Cost costOf(const Occupancy &Held, const MemberPlace &Place) const;

  /// Adds the holders of \p Place to the victims.
  void select(const Occupancy &Held, const MemberPlace &Place);

  /// Indexes of the holders to stop, each as a whole gang.
  const std::vector<int> &victims() const { return this->Victims; }

private:
  bool isVictim(int Holder) const;

  absl::Time Now;
  std::vector<int> Victims;
};

} // namespace vanillayard

#endif
