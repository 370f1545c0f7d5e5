#ifndef VANILLAYARD_PLACEMENT_GUARANTEELEDGER_H
#define VANILLAYARD_PLACEMENT_GUARANTEELEDGER_H

#include "config/Configuration.h"
#include "placement/GangShape.h"
#include "placement/Occupancy.h"

#include <span>
#include <vector>

namespace vanillayard {

/// The cells of one shape that are guaranteed to one client account. A cell is
/// an aligned block of accelerators in one worker, or several whole workers of
/// one rack.
struct GuaranteedNeed {
  /// Index of the client account.
  int Account = 0;
  /// Level of a cell in a worker, 0 to CellLevels - 1.
  int Level = 0;
  /// Whole workers of one rack that make up a cell; 1 for a cell in a worker.
  int Workers = 1;
  int Count = 0;
  /// How many of the cells are in use, each bound to accelerators.
  int Bound = 0;
};

/// A guaranteed cell in use. Only reclaimable work and work of its account
/// within the guarantee run on its accelerators, so that the whole cell is
/// available again when its users end.
struct BoundCell {
  /// Index into GuaranteeLedger::needs(); -1 if no cell is bound here.
  int Need = -1;
  /// Number of holders that use the cell.
  int Users = 0;
  std::vector<MemberPlace> Area;
};

/// An unused guaranteed cell and accelerators to which it could be bound.
struct AssignedCell {
  int Need = -1;
  std::vector<MemberPlace> Area;
};

/// Records which guaranteed cells are in use and checks the guarantee
/// invariant: with all reclaimable work removed, the unused guaranteed cells of
/// all accounts still fit.
///
/// The check is exact for cells within a worker, because aligned cells nest.
/// Cells of several workers (rack cells) are packed into racks by best fit,
/// largest first. That is exact if their sizes divide each other; otherwise,
/// deficit() may report a deficit although a better packing exists.
class GuaranteeLedger {
public:
  GuaranteeLedger(const Topology &Topo, std::vector<GuaranteedNeed> Needs);

  /// \returns what is guaranteed to \p Accounts in the data centre \p Dc.
  ///          GuaranteedNeed::Account is an index into \p Accounts.
  static std::vector<GuaranteedNeed>
  needsOf(const std::vector<ClientAccount> &Accounts, const DataCentreId &Dc);

  const std::vector<GuaranteedNeed> &needs() const { return this->Needs; }
  const std::vector<BoundCell> &cells() const { return this->Cells; }
  /// Accelerators of bound cells, by worker index.
  std::span<const uint8_t> boundMasks() const { return this->BoundMasks; }

  /// Accelerators of \p Worker to which an unused cell could be bound: not in a
  /// bound cell, and either free or held by reclaimable work.
  uint8_t claimableMask(const Occupancy &Occ, int Worker) const {
    return static_cast<uint8_t>(Occ.usableMask(Worker) &
                                ~Occ.unreclaimableMask(Worker) &
                                ~this->BoundMasks[static_cast<size_t>(Worker)]);
  }

  /// \returns the number of accelerators in unused cells that do not fit; 0 if
  ///          the invariant holds.
  /// \param Extra places counted as held by work that cannot be reclaimed.
  int deficit(const Occupancy &Occ, std::span<const MemberPlace> Extra = {});

  /// Finds disjoint accelerators for all unused cells, without binding the
  /// cells. Omits cells that do not fit. Among blocks of equal size, prefers
  /// those on workers on which accelerators are held, which leaves idle workers
  /// to other work.
  void assign(const Occupancy &Occ, std::vector<AssignedCell> &Out);

  /// Binds one unused cell to the accelerators in \p Area.
  /// \param Need index into needs(): which account's guarantee the cell is of.
  /// \returns the index of the cell in cells().
  int bindCell(int Need, std::span<const MemberPlace> Area);
  /// Undoes bindCell() of a cell without users.
  void unbindCell(int Cell);
  /// Records that a holder uses a cell until releaseHolder().
  void useCell(int Holder, int Cell);
  /// Ends the use of all cells of a holder and unbinds those without users.
  void releaseHolder(int Holder);

  /// Binds cells for the running work of a holder, after a restart.
  /// \returns false, without effect, if the work is not within the guarantee of
  ///          its account.
  bool bindExisting(const Occupancy &Occ, int Holder);

private:
  int packRackCells();
  int deficitOfBlocks(const std::array<int, 4> &Blocks, int WholeWorkers);
  bool takeBlock(int Level, MemberPlace &Out);
  bool takeRackCell(const Occupancy &Occ, int Workers,
                    std::vector<MemberPlace> &Out);
  void listClaimableBlocks(const Occupancy &Occ);
  int findCoveringCell(int Account, const MemberPlace &Place) const;
  bool isBindableFor(const Occupancy &Occ, int Account,
                     const MemberPlace &Block) const;
  int bindCoveringCell(const Occupancy &Occ, int Account,
                       const MemberPlace &Place);
  bool findCoveringRackArea(const Occupancy &Occ, int Account, int Worker,
                            int Count, std::vector<MemberPlace> &Area) const;

  const Topology *Topo;
  std::vector<GuaranteedNeed> Needs;
  std::vector<BoundCell> Cells;
  std::vector<int> FreeCellIndexes;
  std::vector<uint8_t> BoundMasks;
  std::vector<std::vector<int>> CellsOfHolder;
  /// Indexes into Needs in descending order of size: rack cells by number of
  /// workers, then cells in a worker by level.
  std::vector<int> LargestFirst;

  // Scratch buffers, kept between calls so that deficit() allocates nothing.
  std::vector<uint8_t> ExtraMasks;
  std::vector<int> WholeWorkersPerRack;
  std::array<std::vector<MemberPlace>, 4> BlockLists;
};

} // namespace vanillayard

#endif
