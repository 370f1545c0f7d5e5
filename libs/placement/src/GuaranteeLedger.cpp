#include "placement/GuaranteeLedger.h"

#include "placement/CellTable.h"

#include <algorithm>
#include <bit>

namespace vanillayard {

static constexpr int WorkerLevel = CellLevels - 1;
static constexpr uint8_t WholeWorkerMask = 0xff;

GuaranteeLedger::GuaranteeLedger(const Topology &Topo,
                                 std::vector<GuaranteedNeed> List)
    : Topo(&Topo), Needs(std::move(List)) {
  size_t Count = static_cast<size_t>(Topo.workerCount());
  this->BoundMasks.assign(Count, 0);
  this->ExtraMasks.assign(Count, 0);
  for (size_t I = 0; I < this->Needs.size(); ++I)
    this->LargestFirst.push_back(static_cast<int>(I));
  std::stable_sort(this->LargestFirst.begin(), this->LargestFirst.end(),
                   [this](int A, int B) {
                     const GuaranteedNeed &L = this->Needs[A];
                     const GuaranteedNeed &R = this->Needs[B];
                     return std::make_pair(L.Workers, L.Level) >
                            std::make_pair(R.Workers, R.Level);
                   });
}

std::vector<GuaranteedNeed>
GuaranteeLedger::needsOf(const std::vector<ClientAccount> &Accounts,
                         const DataCentreId &Dc) {
  std::vector<GuaranteedNeed> Result;
  for (size_t I = 0; I < Accounts.size(); ++I)
    for (const GuaranteedCells &Cells : Accounts[I].Guarantees) {
      if (Cells.DataCentre != Dc || Cells.Count <= 0)
        continue;
      GuaranteedNeed Need;
      Need.Account = static_cast<int>(I);
      Need.Workers = std::max(1, Cells.Workers);
      int PerCell =
          std::clamp(Cells.AcceleratorsPerCell, 1, MaxAcceleratorsPerWorker);
      Need.Level = Need.Workers > 1 ? WorkerLevel : CellTable::levelOf(PerCell);
      Need.Count = Cells.Count;
      Result.push_back(Need);
    }
  return Result;
}

int GuaranteeLedger::packRackCells() {
  int Missing = 0;
  for (int I : this->LargestFirst) {
    const GuaranteedNeed &Need = this->Needs[static_cast<size_t>(I)];
    if (Need.Workers <= 1)
      break;
    for (int K = Need.Bound; K < Need.Count; ++K) {
      int *Best = nullptr;
      for (int &Whole : this->WholeWorkersPerRack)
        if (Whole >= Need.Workers && (!Best || Whole < *Best))
          Best = &Whole;
      if (Best)
        *Best -= Need.Workers;
      else
        Missing += Need.Workers * MaxAcceleratorsPerWorker;
    }
  }
  return Missing;
}

int GuaranteeLedger::deficitOfBlocks(const std::array<int, 4> &Blocks,
                                     int WholeWorkers) {
  std::array<int, 4> Wanted{};
  for (const GuaranteedNeed &Need : this->Needs)
    if (Need.Workers <= 1)
      Wanted[static_cast<size_t>(Need.Level)] += Need.Count - Need.Bound;
  int Missing = 0;
  int Available = WholeWorkers;
  for (int Level = WorkerLevel; Level >= 0; --Level) {
    size_t L = static_cast<size_t>(Level);
    if (Level < WorkerLevel)
      Available = 2 * Available + Blocks[L];
    Missing += std::max(0, Wanted[L] - Available) << Level;
    Available = std::max(0, Available - Wanted[L]);
  }
  return Missing;
}

int GuaranteeLedger::deficit(const Occupancy &Occ,
                             std::span<const MemberPlace> Extra) {
  if (this->Needs.empty())
    return 0;
  for (const MemberPlace &P : Extra)
    this->ExtraMasks[static_cast<size_t>(P.Worker)] |= P.Mask;
  const CellTable &Table = CellTable::get();
  std::array<int, 4> Blocks{};
  this->WholeWorkersPerRack.assign(static_cast<size_t>(this->Topo->rackCount()),
                                   0);
  for (int W = 0; W < this->Topo->workerCount(); ++W) {
    uint8_t Mask =
        static_cast<uint8_t>(this->claimableMask(Occ, W) &
                             ~this->ExtraMasks[static_cast<size_t>(W)]);
    if (Mask == WholeWorkerMask) {
      ++this->WholeWorkersPerRack[static_cast<size_t>(this->Topo->rackOf(W))];
      continue;
    }
    for (int L = 0; L < WorkerLevel; ++L)
      Blocks[static_cast<size_t>(L)] += Table.blockCount(Mask, L);
  }
  for (const MemberPlace &P : Extra)
    this->ExtraMasks[static_cast<size_t>(P.Worker)] = 0;
  int Missing = this->packRackCells();
  int Whole = 0;
  for (int InRack : this->WholeWorkersPerRack)
    Whole += InRack;
  return Missing + this->deficitOfBlocks(Blocks, Whole);
}

// Lists blocks on workers with held accelerators last, because blocks are taken
// from the end of a list and assign() prefers these.
void GuaranteeLedger::listClaimableBlocks(const Occupancy &Occ) {
  for (std::vector<MemberPlace> &List : this->BlockLists)
    List.clear();
  const CellTable &Table = CellTable::get();
  for (bool WithHolders : {false, true})
    for (int W = 0; W < this->Topo->workerCount(); ++W) {
      uint8_t Mask = this->claimableMask(Occ, W);
      if ((Occ.heldMask(W) != 0) != WithHolders)
        continue;
      for (int L = WorkerLevel; L >= 0; --L)
        for (int K = Table.blockCount(Mask, L); K > 0; --K) {
          uint8_t Block = Table.pick(Mask, 1 << L);
          // After the larger levels are removed, pick() returns a maximal cell,
          // because it prefers cells that are not part of a larger one.
          Mask = static_cast<uint8_t>(Mask & ~Block);
          this->BlockLists[static_cast<size_t>(L)].push_back({W, Block});
        }
    }
}

bool GuaranteeLedger::takeBlock(int Level, MemberPlace &Out) {
  for (int From = Level; From < CellLevels; ++From) {
    std::vector<MemberPlace> &List =
        this->BlockLists[static_cast<size_t>(From)];
    if (List.empty())
      continue;
    MemberPlace Block = List.back();
    List.pop_back();
    for (int L = From; L > Level; --L) {
      uint8_t Half = CellTable::get().pick(Block.Mask, 1 << (L - 1));
      this->BlockLists[static_cast<size_t>(L - 1)].push_back(
          {Block.Worker, static_cast<uint8_t>(Block.Mask & ~Half)});
      Block.Mask = Half;
    }
    Out = Block;
    return true;
  }
  return false;
}

bool GuaranteeLedger::takeRackCell(const Occupancy &Occ, int Workers,
                                   std::vector<MemberPlace> &Out) {
  std::vector<MemberPlace> &Whole = this->BlockLists[WorkerLevel];
  this->WholeWorkersPerRack.assign(static_cast<size_t>(this->Topo->rackCount()),
                                   0);
  for (const MemberPlace &P : Whole)
    ++this->WholeWorkersPerRack[static_cast<size_t>(
        this->Topo->rackOf(P.Worker))];
  int Best = -1;
  for (size_t R = 0; R < this->WholeWorkersPerRack.size(); ++R)
    if (this->WholeWorkersPerRack[R] >= Workers &&
        (Best < 0 ||
         this->WholeWorkersPerRack[R] < this->WholeWorkersPerRack[Best]))
      Best = static_cast<int>(R);
  if (Best < 0)
    return false;
  for (size_t I = Whole.size(); I-- > 0 && Workers > 0;) {
    if (this->Topo->rackOf(Whole[I].Worker) != Best)
      continue;
    Out.push_back(Whole[I]);
    Whole.erase(Whole.begin() + static_cast<ptrdiff_t>(I));
    --Workers;
  }
  return Occ.topology().rackCount() > 0;
}

void GuaranteeLedger::assign(const Occupancy &Occ,
                             std::vector<AssignedCell> &Out) {
  Out.clear();
  this->listClaimableBlocks(Occ);
  for (int I : this->LargestFirst) {
    const GuaranteedNeed &Need = this->Needs[static_cast<size_t>(I)];
    for (int K = Need.Bound; K < Need.Count; ++K) {
      AssignedCell Cell;
      Cell.Need = I;
      MemberPlace Block;
      if (Need.Workers > 1) {
        if (!this->takeRackCell(Occ, Need.Workers, Cell.Area))
          break;
      } else {
        if (!this->takeBlock(Need.Level, Block))
          break;
        Cell.Area.push_back(Block);
      }
      Out.push_back(std::move(Cell));
    }
  }
}

int GuaranteeLedger::bindCell(int Need, std::span<const MemberPlace> Area) {
  if (this->FreeCellIndexes.empty()) {
    this->FreeCellIndexes.push_back(static_cast<int>(this->Cells.size()));
    this->Cells.emplace_back();
  }
  int Index = this->FreeCellIndexes.back();
  this->FreeCellIndexes.pop_back();
  BoundCell &Cell = this->Cells[static_cast<size_t>(Index)];
  Cell.Need = Need;
  Cell.Users = 0;
  Cell.Area.assign(Area.begin(), Area.end());
  for (const MemberPlace &P : Cell.Area)
    this->BoundMasks[static_cast<size_t>(P.Worker)] |= P.Mask;
  ++this->Needs[static_cast<size_t>(Need)].Bound;
  return Index;
}

void GuaranteeLedger::unbindCell(int Index) {
  BoundCell &Cell = this->Cells[static_cast<size_t>(Index)];
  for (const MemberPlace &P : Cell.Area) {
    uint8_t &Mask = this->BoundMasks[static_cast<size_t>(P.Worker)];
    Mask = static_cast<uint8_t>(Mask & ~P.Mask);
  }
  --this->Needs[static_cast<size_t>(Cell.Need)].Bound;
  Cell.Need = -1;
  Cell.Area.clear();
  this->FreeCellIndexes.push_back(Index);
}

void GuaranteeLedger::useCell(int Holder, int Cell) {
  if (this->CellsOfHolder.size() <= static_cast<size_t>(Holder))
    this->CellsOfHolder.resize(static_cast<size_t>(Holder) + 1);
  std::vector<int> &Used = this->CellsOfHolder[static_cast<size_t>(Holder)];
  if (std::find(Used.begin(), Used.end(), Cell) != Used.end())
    return;
  Used.push_back(Cell);
  ++this->Cells[static_cast<size_t>(Cell)].Users;
}

void GuaranteeLedger::releaseHolder(int Holder) {
  if (this->CellsOfHolder.size() <= static_cast<size_t>(Holder))
    return;
  std::vector<int> &Used = this->CellsOfHolder[static_cast<size_t>(Holder)];
  for (int Cell : Used)
    if (--this->Cells[static_cast<size_t>(Cell)].Users == 0)
      this->unbindCell(Cell);
  Used.clear();
}

int GuaranteeLedger::findCoveringCell(int Account,
                                      const MemberPlace &Place) const {
  for (size_t I = 0; I < this->Cells.size(); ++I) {
    const BoundCell &Cell = this->Cells[I];
    if (Cell.Need < 0 ||
        this->Needs[static_cast<size_t>(Cell.Need)].Account != Account)
      continue;
    for (const MemberPlace &P : Cell.Area)
      if (P.Worker == Place.Worker && (P.Mask & Place.Mask) == Place.Mask)
        return static_cast<int>(I);
  }
  return -1;
}

bool GuaranteeLedger::isBindableFor(const Occupancy &Occ, int Account,
                                    const MemberPlace &Block) const {
  if (this->BoundMasks[static_cast<size_t>(Block.Worker)] & Block.Mask)
    return false;
  if ((Occ.usableMask(Block.Worker) & Block.Mask) != Block.Mask)
    return false;
  for (unsigned Bits = Block.Mask; Bits; Bits &= Bits - 1) {
    int Index = Occ.holderAt(Block.Worker, std::countr_zero(Bits));
    if (Index >= 0 && !Occ.holder(Index).Reclaimable &&
        Occ.holder(Index).Account != Account)
      return false;
  }
  return true;
}

bool GuaranteeLedger::findCoveringRackArea(
    const Occupancy &Occ, int Account, int Worker, int Count,
    std::vector<MemberPlace> &Area) const {
  if (!this->isBindableFor(Occ, Account, {Worker, WholeWorkerMask}))
    return false;
  Area.push_back({Worker, WholeWorkerMask});
  int Rack = this->Topo->rackOf(Worker);
  // First add workers on which the account already holds accelerators.
  for (bool Idle : {false, true})
    for (int W = this->Topo->rackBegin(Rack);
         W < this->Topo->rackBegin(Rack + 1); ++W) {
      if (static_cast<int>(Area.size()) == Count)
        return true;
      if (W == Worker || (Occ.unreclaimableMask(W) == 0) != Idle ||
          !this->isBindableFor(Occ, Account, {W, WholeWorkerMask}))
        continue;
      Area.push_back({W, WholeWorkerMask});
    }
  return static_cast<int>(Area.size()) == Count;
}

int GuaranteeLedger::bindCoveringCell(const Occupancy &Occ, int Account,
                                      const MemberPlace &Place) {
  for (size_t K = this->LargestFirst.size(); K-- > 0;) {
    int I = this->LargestFirst[K];
    const GuaranteedNeed &Need = this->Needs[static_cast<size_t>(I)];
    if (Need.Account != Account || Need.Bound >= Need.Count)
      continue;
    std::vector<MemberPlace> Area;
    if (Need.Workers > 1) {
      if (this->findCoveringRackArea(Occ, Account, Place.Worker, Need.Workers,
                                     Area))
        return this->bindCell(I, Area);
      continue;
    }
    unsigned Width = 1U << Need.Level;
    unsigned First =
        static_cast<unsigned>(std::countr_zero(Place.Mask)) / Width * Width;
    MemberPlace Block{Place.Worker,
                      static_cast<uint8_t>(((1U << Width) - 1) << First)};
    if ((Block.Mask & Place.Mask) != Place.Mask ||
        !this->isBindableFor(Occ, Account, Block))
      continue;
    Area.push_back(Block);
    return this->bindCell(I, Area);
  }
  return -1;
}

bool GuaranteeLedger::bindExisting(const Occupancy &Occ, int Holder) {
  int Account = Occ.holder(Holder).Account;
  for (const MemberPlace &Place : Occ.holder(Holder).Places) {
    int Cell = this->findCoveringCell(Account, Place);
    if (Cell < 0)
      Cell = this->bindCoveringCell(Occ, Account, Place);
    if (Cell < 0) {
      this->releaseHolder(Holder);
      return false;
    }
    this->useCell(Holder, Cell);
  }
  return true;
}

} // namespace vanillayard
