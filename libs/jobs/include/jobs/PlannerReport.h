#ifndef VANILLAYARD_JOBS_PLANNERREPORT_H
#define VANILLAYARD_JOBS_PLANNERREPORT_H

#include "base/Ids.h"

#include <vector>

namespace vanillayard {

/// What operators see of a data centre's accelerators. Empty on a host that is
/// not the planner.
struct PlannerReport {
  /// Guaranteed cells of one shape of an account.
  struct Guarantee {
    ClientAccountId Account;
    int AcceleratorsPerCell = 0;
    /// Whole workers of a rack that make one cell; 1 for a cell in a worker.
    int Workers = 1;
    int Count = 0;
    int InUse = 0;
  };
  /// Accelerators of one account's jobs.
  struct Holding {
    ClientAccountId Account;
    int Accelerators = 0;
    /// Of these, above the guarantee or outside of guaranteed cells.
    int Borrowed = 0;
  };

  int Accelerators = 0;
  int FreeAccelerators = 0;
  /// Accelerators of unused guaranteed cells that do not fit even with all
  /// reclaimable work removed. Above 0 only after workers were lost or
  /// guarantees were raised.
  int UnmetAccelerators = 0;
  /// Members of 8 accelerators of the largest gang that could start now, and
  /// if all work were packed on the fewest workers.
  int LargestGang = 0;
  int LargestPackedGang = 0;
  /// 1 - LargestGang / LargestPackedGang.
  double Fragmentation = 0;
  std::vector<Guarantee> Guarantees;
  std::vector<Holding> Holdings;
};

} // namespace vanillayard

#endif
