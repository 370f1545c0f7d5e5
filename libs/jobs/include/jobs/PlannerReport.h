#ifndef VANILLAYARD_JOBS_PLANNERREPORT_H
#define VANILLAYARD_JOBS_PLANNERREPORT_H

#include "base/Ids.h"

#include <vector>

namespace vanillayard {

/// Use of a data centre's accelerators, for operators. Empty on a host that is
/// not the planner.
struct PlannerReport {
  /// Guaranteed cells of one shape for one account.
  struct Guarantee {
    ClientAccountId Account;
    int AcceleratorsPerCell = 0;
    /// Whole workers of a rack that make one cell; 1 for a cell in a worker.
    int Workers = 1;
    int Count = 0;
    int InUse = 0;
  };
  /// Accelerators that the jobs of one account hold.
  struct AccountUsage {
    ClientAccountId Account;
    int Accelerators = 0;
    /// Accelerators held above the guarantee or outside of guaranteed cells;
    /// included in Accelerators.
    int Borrowed = 0;
  };

  int Accelerators = 0;
  int FreeAccelerators = 0;
  /// Accelerators of unused guaranteed cells that do not fit even with all
  /// reclaimable work removed. Above 0 only after workers were lost or
  /// guarantees were raised.
  int UnmetAccelerators = 0;
  /// Size of the largest gang that could start now, in members of 8
  /// accelerators each.
  int LargestGang = 0;
  /// The same if all work were packed onto the fewest workers.
  int LargestPackedGang = 0;
  /// 1 - LargestGang / LargestPackedGang.
  double Fragmentation = 0;
  std::vector<Guarantee> Guarantees;
  std::vector<AccountUsage> AccountUsages;
};

} // namespace vanillayard

#endif
