#ifndef VANILLAYARD_PLACEMENT_GUARANTEELEDGER_H
#define VANILLAYARD_PLACEMENT_GUARANTEELEDGER_H

#include "config/Configuration.h"
#include "placement/GangShape.h"
#include "placement/Occupancy.h"

#include <span>
#include <vector>

namespace vanillayard {

/// Guaranteed cells of one shape of one client account.
struct GuaranteedNeed {
  int Account = 0;
  /// Level of a cell in a worker, 0 to CellLevels - 1.
  int Level = 0;
  /// Whole workers of one rack; 1 for a cell in a worker.
  int Workers = 1;
  int Count = 0;
  /// Cells in use, each bound to accelerators.
  int Bound = 0;
};

/// A guaranteed cell in use. Only work of its account within the guarantee
/// and reclaimable work runs on its accelerators, so that the whole cell is
/// available again when its users end.
struct BoundCell {
  int Need = -1;
  int Users = 0;
  std::vector<MemberPlace> Area;
};

/// An unused guaranteed cell and accelerators that could be given to it.
struct AssignedCell {
  int Need = -1;
  std::vector<MemberPlace> Area;
};

/// Keeps the invariant of guarantees: with all reclaimable work removed, the
/// unused guaranteed cells of every account still fit.
///
/// Cells of a worker nest, so the check is exact for them. Cells of several
/// workers are packed into racks by best fit, largest first; that is exact
/// when their sizes divide each other, and may otherwise report a deficit
/// where a better packing exists.
class GuaranteeLedger {
public:
  GuaranteeLedger(const Topology &Topo, std::vector<GuaranteedNeed> Needs);

  /// The needs of a data centre. Accounts are indexes into \p Accounts.
  static std::vector<GuaranteedNeed>
  needsOf(const std::vector<ClientAccount> &Accounts, const DataCentreId &Dc);

  const std::vector<GuaranteedNeed> &needs() const { return this->Needs; }
  const std::vector<BoundCell> &cells() const { return this->Cells; }
  /// Accelerators of bound cells, by worker index.
  std::span<const uint8_t> boundMasks() const { return this->BoundMasks; }

  /// Accelerators of \p Worker that an unused cell could be given.
  uint8_t claimable(const Occupancy &Held, int Worker) const {
    return static_cast<uint8_t>(Held.usableMask(Worker) &
                                ~Held.fixedMask(Worker) &
                                ~this->BoundMasks[static_cast<size_t>(Worker)]);
  }

  /// Accelerators of unused cells that do not fit; 0 if the invariant holds.
  /// \param Extra places counted as held by work that cannot be reclaimed.
  int deficit(const Occupancy &Held, std::span<const MemberPlace> Extra = {});

  /// Finds accelerators for each unused cell, all at once. Cells that do not
  /// fit are left out. Prefers accelerators that reclaimable work holds.
  void assign(const Occupancy &Held, std::vector<AssignedCell> &Out);

  /// Binds one unused cell of a need. \returns the index of the cell.
  int bind(int Need, std::span<const MemberPlace> Area);
  /// Undoes bind() of a cell without users.
  void unbind(int Cell);
  /// Notes that a holder uses a cell until releaseHolder().
  void use(int Holder, int Cell);
  void releaseHolder(int Holder);

  /// Finds cells for work that runs already, after a restart.
  /// \returns false, without effect, if it is not within the guarantee.
  bool bindExisting(const Occupancy &Held, int Holder);

private:
  int packRackCells();
  int deficitOfBlocks(const std::array<int, 4> &Blocks, int WholeWorkers);
  bool takeBlock(int Level, MemberPlace &Out);
  bool takeRackCell(const Occupancy &Held, int Workers,
                    std::vector<MemberPlace> &Out);
  void listBlocks(const Occupancy &Held);
  int cellOver(int Account, const MemberPlace &Place) const;
  bool ownOnly(const Occupancy &Held, int Account,
               const MemberPlace &Block) const;
  int bindOver(const Occupancy &Held, int Account, const MemberPlace &Place);
  bool rackAreaOver(const Occupancy &Held, int Account, int Worker, int Count,
                    std::vector<MemberPlace> &Area) const;

  const Topology *Topo;
  std::vector<GuaranteedNeed> Needs;
  std::vector<BoundCell> Cells;
  std::vector<int> UnusedCells;
  std::vector<uint8_t> BoundMasks;
  std::vector<std::vector<int>> CellsOfHolder;
  /// Indexes into Needs: rack cells by falling size, then levels by falling
  /// size.
  std::vector<int> LargestFirst;

  // Scratch, kept so that a check allocates nothing.
  std::vector<uint8_t> ExtraMasks;
  std::vector<int> WholePerRack;
  std::array<std::vector<MemberPlace>, 4> BlockLists;
};

} // namespace vanillayard

#endif
