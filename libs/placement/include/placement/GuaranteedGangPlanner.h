#ifndef VANILLAYARD_PLACEMENT_GUARANTEEDGANGPLANNER_H
#define VANILLAYARD_PLACEMENT_GUARANTEEDGANGPLANNER_H

#include "placement/GuaranteeLedger.h"
#include "placement/ReclaimPlanner.h"

#include <vector>

namespace vanillayard {

/// Placement of a gang within its account's guarantee.
struct GuaranteedPlan {
  GangPlacement Members;
  /// Indexes of the ledger's cells that the members use; new cells are already
  /// bound.
  std::vector<int> Cells;
  /// Indexes of the holders to stop first, each as a whole gang.
  std::vector<int> Victims;
};

enum class GuaranteedPlanResult {
  Planned,
  /// The gang does not fit in what is left of the account's guarantee.
  ExceedsGuarantee,
  /// The gang is within the guarantee, but too few accelerators are available
  /// because workers have failed.
  Blocked,
};

/// Places gangs in guaranteed cells: on free accelerators if there are any,
/// else on those whose reclaim loses the least work.
class GuaranteedGangPlanner {
public:
  explicit GuaranteedGangPlanner(GuaranteeLedger &Ledger) : Ledger(&Ledger) {}

  /// Places all members. If the result is Planned, the new cells are bound, and
  /// the caller calls useCell() for each cell of \p Out. Otherwise the ledger
  /// is unchanged.
  GuaranteedPlanResult plan(const Occupancy &Occ, int Account,
                            const GangShape &Shape, absl::Time Now,
                            GuaranteedPlan &Out);

  /// Places as many members as the guarantee has room for, without reclaim.
  /// \returns false, with the ledger unchanged, if no member can be placed.
  bool planPartialGang(const Occupancy &Occ, int Account,
                       const GangShape &Shape, absl::Time Now,
                       GuaranteedPlan &Out);

private:
  struct Search {
    const Occupancy *Occ = nullptr;
    int Account = -1;
    GangShape Shape;
    int MembersLeft = 0;
    /// The only rack whose workers may be used; -1 for all racks.
    int Rack = -1;
    /// Whether all members must be in one cell, or on one worker of it if
    /// Shape.RequiredAdjacency is Adjacency::Worker.
    bool OneCell = false;
    /// Whether to accept a part of the gang; nothing may be reclaimed then.
    bool Partial = false;
    /// Whether to bind new cells to the accelerators that
    /// GuaranteeLedger::assign() found.
    bool UseAssignment = false;
  };

  Search beginSearch(const Occupancy &Occ, int Account, const GangShape &Shape,
                     absl::Time Now, GuaranteedPlan &Out);
  bool hasGuaranteedCapacity(const Search &S) const;
  bool tryPlan(Search &S, GuaranteedPlan &Out);
  bool tryAllPlans(Search S, GuaranteedPlan &Out);
  void useBoundCells(Search &S, GuaranteedPlan &Out);
  void useUnusedCells(Search &S, GuaranteedPlan &Out);
  bool bindNewCell(Search &S, int Need, GuaranteedPlan &Out);
  bool findBlock(const Search &S, int Level, std::vector<MemberPlace> &Area);
  bool findRackCell(const Search &S, int Workers,
                    std::vector<MemberPlace> &Area);
  bool findAssignedCell(const Search &S, int Need,
                        std::vector<MemberPlace> &Area);
  int capacityOf(const Search &S, std::span<const MemberPlace> Area) const;
  int nominalCapacity(const Search &S, const GuaranteedNeed &Need) const;
  int fillArea(Search &S, std::span<const MemberPlace> Area,
               GuaranteedPlan &Out);
  uint8_t plannableMask(const Search &S, const MemberPlace &Area) const;
  void undoPlan(GuaranteedPlan &Out);

  GuaranteeLedger *Ledger;
  ReclaimPlanner Reclaim;
  std::vector<uint8_t> PlannedMasks;
  std::vector<int> NewCells;
  std::vector<AssignedCell> Assignment;
  std::vector<MemberPlace> Area;
};

} // namespace vanillayard

#endif
