#ifndef VANILLAYARD_PLACEMENT_GUARANTEEDGANGPLANNER_H
#define VANILLAYARD_PLACEMENT_GUARANTEEDGANGPLANNER_H

#include "placement/GuaranteeLedger.h"
#include "placement/ReclaimPlanner.h"

#include <vector>

namespace vanillayard {

/// Where a gang within its account's guarantee is placed.
struct GuaranteedPlan {
  GangPlacement Members;
  /// Cells of the ledger that the members use; new ones are bound already.
  std::vector<int> Cells;
  /// Holders to stop first, as whole gangs.
  std::vector<int> Victims;
};

enum class GuaranteedPlanResult {
  Planned,
  /// The gang is not within what is left of the account's guarantee.
  Exceeds,
  /// It is, but accelerators are missing: workers have failed.
  Blocked,
};

/// Places gangs in guaranteed cells, on free accelerators if there are, else
/// on those whose reclaim loses least work.
class GuaranteedGangPlanner {
public:
  explicit GuaranteedGangPlanner(GuaranteeLedger &Ledger) : Ledger(&Ledger) {}

  /// On Planned, new cells are bound; the caller calls use() for each cell of
  /// \p Out. Otherwise nothing changes.
  GuaranteedPlanResult plan(const Occupancy &Held, int Account,
                            const GangShape &Shape, absl::Time Now,
                            GuaranteedPlan &Out);

  /// Places as many members as the guarantee has room for, without reclaim.
  /// \returns false, and nothing changes, if there is no room for any.
  bool planPart(const Occupancy &Held, int Account, const GangShape &Shape,
                absl::Time Now, GuaranteedPlan &Out);

private:
  struct Search {
    const Occupancy *Held = nullptr;
    int Account = -1;
    GangShape Shape;
    int Left = 0;
    /// Only workers of this rack; -1 for all.
    int Rack = -1;
    /// All members in one cell, or on one worker of it.
    bool OneCell = false;
    /// A part of the gang is enough, but nothing may be reclaimed.
    bool Partial = false;
    /// Take the accelerators that assign() found.
    bool Assigned = false;
  };

  Search begin(const Occupancy &Held, int Account, const GangShape &Shape,
               absl::Time Now, GuaranteedPlan &Out);
  bool holdsUnused(const Search &S) const;
  bool attempt(Search &S, GuaranteedPlan &Out);
  bool attemptAll(Search S, GuaranteedPlan &Out);
  void useBoundCells(Search &S, GuaranteedPlan &Out);
  void useUnusedCells(Search &S, GuaranteedPlan &Out);
  bool bindNew(Search &S, int Need, GuaranteedPlan &Out);
  bool findBlock(const Search &S, int Level, std::vector<MemberPlace> &Area);
  bool findRackCell(const Search &S, int Workers,
                    std::vector<MemberPlace> &Area);
  bool findAssigned(const Search &S, int Need, std::vector<MemberPlace> &Area);
  int capacityOf(const Search &S, std::span<const MemberPlace> Area) const;
  int nominalCapacity(const Search &S, const GuaranteedNeed &Need) const;
  int fill(Search &S, std::span<const MemberPlace> Area, GuaranteedPlan &Out);
  uint8_t usable(const Search &S, const MemberPlace &Area) const;
  void undo(GuaranteedPlan &Out);

  GuaranteeLedger *Ledger;
  ReclaimPlanner Reclaim;
  std::vector<uint8_t> Planned;
  std::vector<int> NewCells;
  std::vector<AssignedCell> Assignment;
  std::vector<MemberPlace> Area;
};

} // namespace vanillayard

#endif
