#include "placement/GuaranteedGangPlanner.h"

#include "placement/CellTable.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace vanillayard {

static constexpr uint8_t WholeMask = 0xff;

uint8_t GuaranteedGangPlanner::usable(const Search &S,
                                      const MemberPlace &Place) const {
  return static_cast<uint8_t>(
      Place.Mask & S.Held->usableMask(Place.Worker) &
      ~S.Held->fixedMask(Place.Worker) &
      ~this->Planned[static_cast<size_t>(Place.Worker)]);
}

int GuaranteedGangPlanner::capacityOf(
    const Search &S, std::span<const MemberPlace> Places) const {
  int Sum = 0;
  int Largest = 0;
  for (const MemberPlace &P : Places) {
    int Here = CellTable::get().capacity(this->usable(S, P),
                                         S.Shape.AcceleratorsPerMember);
    Sum += Here;
    Largest = std::max(Largest, Here);
  }
  return S.Shape.Spread == Adjacency::Worker ? Largest : Sum;
}

int GuaranteedGangPlanner::nominalCapacity(const Search &S,
                                           const GuaranteedNeed &Need) const {
  int Level = CellTable::levelOf(S.Shape.AcceleratorsPerMember);
  if (Need.Level < Level)
    return 0;
  int PerWorker = 1 << (Need.Level - Level);
  return S.Shape.Spread == Adjacency::Worker ? PerWorker
                                             : PerWorker * Need.Workers;
}

// Places members in an area until it is full or none are left.
int GuaranteedGangPlanner::fill(Search &S, std::span<const MemberPlace> Places,
                                GuaranteedPlan &Out) {
  const CellTable &Cells = CellTable::get();
  int Size = S.Shape.AcceleratorsPerMember;
  int Before = S.Left;
  for (const MemberPlace &P : Places) {
    if (S.Shape.Spread == Adjacency::Worker &&
        Cells.capacity(this->usable(S, P), Size) < S.Left)
      continue;
    while (S.Left > 0) {
      uint8_t Mask = this->usable(S, P);
      uint8_t Free = static_cast<uint8_t>(Mask & S.Held->freeMask(P.Worker));
      uint8_t Picked = Cells.pick(Free, Size);
      if (!Picked)
        Picked = Cells.pick(Mask, Size);
      if (!Picked)
        break;
      this->Planned[static_cast<size_t>(P.Worker)] |= Picked;
      Out.Members.push_back({P.Worker, Picked});
      this->Reclaim.select(*S.Held, Out.Members.back());
      --S.Left;
    }
  }
  return Before - S.Left;
}

void GuaranteedGangPlanner::useBoundCells(Search &S, GuaranteedPlan &Out) {
  const std::vector<BoundCell> &Cells = this->Ledger->cells();
  for (size_t I = 0; I < Cells.size() && S.Left > 0; ++I) {
    const BoundCell &Cell = Cells[I];
    if (Cell.Need < 0 ||
        this->Ledger->needs()[static_cast<size_t>(Cell.Need)].Account !=
            S.Account)
      continue;
    int Rack = S.Held->topology().rackOf(Cell.Area.front().Worker);
    if (S.Rack >= 0 && Rack != S.Rack)
      continue;
    if (S.OneCell && this->capacityOf(S, Cell.Area) < S.Left)
      continue;
    if (this->fill(S, Cell.Area, Out) > 0)
      Out.Cells.push_back(static_cast<int>(I));
  }
}

bool GuaranteedGangPlanner::findBlock(const Search &S, int Level,
                                      std::vector<MemberPlace> &Found) {
  using Key = std::tuple<ReclaimPlanner::Cost, int, int>;
  const CellTable &Cells = CellTable::get();
  const Topology &Topo = S.Held->topology();
  int Size = 1 << Level;
  MemberPlace Best;
  Key BestKey;
  int First = S.Rack < 0 ? 0 : Topo.rackBegin(S.Rack);
  int End = S.Rack < 0 ? Topo.workerCount() : Topo.rackBegin(S.Rack + 1);
  for (int W = First; W < End; ++W) {
    uint8_t Mask = this->Ledger->claimable(*S.Held, W);
    if (!Cells.capacity(Mask, Size))
      continue;
    uint8_t Block =
        Cells.pick(static_cast<uint8_t>(Mask & S.Held->freeMask(W)), Size);
    if (!Block)
      Block = Cells.pick(Mask, Size);
    Key Here(this->Reclaim.costOf(*S.Held, {W, Block}),
             Cells.dividedLevel(Mask, Size), std::popcount(Mask));
    if (Best.Worker >= 0 && !(Here < BestKey))
      continue;
    Best = {W, Block};
    BestKey = Here;
  }
  if (Best.Worker < 0)
    return false;
  Found.push_back(Best);
  return true;
}

bool GuaranteedGangPlanner::findRackCell(const Search &S, int Workers,
                                         std::vector<MemberPlace> &Found) {
  using Choice = std::pair<ReclaimPlanner::Cost, int>;
  const Topology &Topo = S.Held->topology();
  std::vector<Choice> Whole;
  std::pair<double, size_t> BestKey;
  for (int R = 0; R < Topo.rackCount(); ++R) {
    if (S.Rack >= 0 && R != S.Rack)
      continue;
    Whole.clear();
    for (int W = Topo.rackBegin(R); W < Topo.rackBegin(R + 1); ++W)
      if (this->Ledger->claimable(*S.Held, W) == WholeMask)
        Whole.emplace_back(this->Reclaim.costOf(*S.Held, {W, WholeMask}), W);
    if (static_cast<int>(Whole.size()) < Workers)
      continue;
    std::sort(Whole.begin(), Whole.end());
    std::pair<double, size_t> Key(0, Whole.size());
    for (int I = 0; I < Workers; ++I)
      Key.first += Whole[static_cast<size_t>(I)].first.LostWork;
    if (!Found.empty() && Key >= BestKey)
      continue;
    BestKey = Key;
    Found.clear();
    for (int I = 0; I < Workers; ++I)
      Found.push_back({Whole[static_cast<size_t>(I)].second, WholeMask});
  }
  return !Found.empty();
}

bool GuaranteedGangPlanner::findAssigned(const Search &S, int Need,
                                         std::vector<MemberPlace> &Found) {
  for (AssignedCell &Cell : this->Assignment) {
    if (Cell.Need != Need || Cell.Area.empty())
      continue;
    int Rack = S.Held->topology().rackOf(Cell.Area.front().Worker);
    if (S.Rack >= 0 && Rack != S.Rack)
      continue;
    Found = Cell.Area;
    Cell.Area.clear();
    return true;
  }
  return false;
}

bool GuaranteedGangPlanner::bindNew(Search &S, int Need, GuaranteedPlan &Out) {
  const GuaranteedNeed &Wanted =
      this->Ledger->needs()[static_cast<size_t>(Need)];
  this->Area.clear();
  bool Found = S.Assigned ? this->findAssigned(S, Need, this->Area)
               : Wanted.Workers > 1
                   ? this->findRackCell(S, Wanted.Workers, this->Area)
                   : this->findBlock(S, Wanted.Level, this->Area);
  if (!Found)
    return false;
  int Cell = this->Ledger->bind(Need, this->Area);
  this->NewCells.push_back(Cell);
  Out.Cells.push_back(Cell);
  this->fill(S, this->Area, Out);
  return true;
}

void GuaranteedGangPlanner::useUnusedCells(Search &S, GuaranteedPlan &Out) {
  const std::vector<GuaranteedNeed> &Needs = this->Ledger->needs();
  // Smallest cells first: large ones stay whole for large gangs.
  for (int Workers = 1; Workers != 0 && S.Left > 0;) {
    int NextWorkers = 0;
    for (const GuaranteedNeed &Need : Needs)
      if (Need.Account == S.Account && Need.Workers > Workers &&
          (NextWorkers == 0 || Need.Workers < NextWorkers))
        NextWorkers = Need.Workers;
    for (int Level = 0; Level < CellLevels && S.Left > 0; ++Level)
      for (size_t I = 0; I < Needs.size() && S.Left > 0; ++I) {
        if (Needs[I].Account != S.Account || Needs[I].Workers != Workers ||
            Needs[I].Level != Level)
          continue;
        int Capacity = this->nominalCapacity(S, Needs[I]);
        if (Capacity == 0 || (S.OneCell && Capacity < S.Left))
          continue;
        while (S.Left > 0 && Needs[I].Bound < Needs[I].Count)
          if (!this->bindNew(S, static_cast<int>(I), Out))
            break;
      }
    Workers = NextWorkers;
  }
}

void GuaranteedGangPlanner::undo(GuaranteedPlan &Out) {
  for (int Cell : this->NewCells)
    this->Ledger->unbind(Cell);
  this->NewCells.clear();
  for (const MemberPlace &P : Out.Members)
    this->Planned[static_cast<size_t>(P.Worker)] = 0;
  Out.Members.clear();
  Out.Cells.clear();
}

bool GuaranteedGangPlanner::attempt(Search &S, GuaranteedPlan &Out) {
  int Before = this->Ledger->deficit(*S.Held);
  this->Reclaim.reset(this->Reclaim.now());
  S.Left = S.Shape.Members;
  if (S.Assigned)
    this->Ledger->assign(*S.Held, this->Assignment);
  this->useBoundCells(S, Out);
  this->useUnusedCells(S, Out);
  bool Enough = S.Partial
                    ? !Out.Members.empty() && this->Reclaim.victims().empty()
                    : S.Left == 0;
  bool Fits = Enough && this->Ledger->deficit(*S.Held) <= Before;
  if (!Fits) {
    this->undo(Out);
    return false;
  }
  Out.Victims = this->Reclaim.victims();
  this->NewCells.clear();
  for (const MemberPlace &P : Out.Members)
    this->Planned[static_cast<size_t>(P.Worker)] = 0;
  return true;
}

// A cheap choice by cost first; if it would break the invariant, the places
// that are known to keep it.
bool GuaranteedGangPlanner::attemptAll(Search S, GuaranteedPlan &Out) {
  for (bool Assigned : {false, true}) {
    S.Assigned = Assigned;
    if (this->attempt(S, Out))
      return true;
  }
  return false;
}

bool GuaranteedGangPlanner::holdsUnused(const Search &S) const {
  int Sum = 0;
  int Largest = 0;
  for (const GuaranteedNeed &Need : this->Ledger->needs()) {
    if (Need.Account != S.Account)
      continue;
    int Capacity = this->nominalCapacity(S, Need);
    Sum += Capacity * (Need.Count - Need.Bound);
    if (Need.Bound < Need.Count)
      Largest = std::max(Largest, Capacity);
  }
  for (const BoundCell &Cell : this->Ledger->cells()) {
    if (Cell.Need < 0 ||
        this->Ledger->needs()[static_cast<size_t>(Cell.Need)].Account !=
            S.Account)
      continue;
    int Capacity = this->capacityOf(S, Cell.Area);
    Sum += Capacity;
    Largest = std::max(Largest, Capacity);
  }
  return (S.OneCell ? Largest : Sum) >= S.Shape.Members;
}

GuaranteedGangPlanner::Search
GuaranteedGangPlanner::begin(const Occupancy &Held, int Account,
                             const GangShape &Shape, absl::Time Now,
                             GuaranteedPlan &Out) {
  Out.Members.clear();
  Out.Cells.clear();
  Out.Victims.clear();
  this->Planned.resize(static_cast<size_t>(Held.topology().workerCount()), 0);
  this->Reclaim.reset(Now);
  Search S;
  S.Held = &Held;
  S.Account = Account;
  S.Shape = Shape;
  return S;
}

bool GuaranteedGangPlanner::planPart(const Occupancy &Held, int Account,
                                     const GangShape &Shape, absl::Time Now,
                                     GuaranteedPlan &Out) {
  Search S = this->begin(Held, Account, Shape, Now, Out);
  S.Partial = true;
  return this->attemptAll(S, Out);
}

GuaranteedPlanResult GuaranteedGangPlanner::plan(const Occupancy &Held,
                                                 int Account,
                                                 const GangShape &Shape,
                                                 absl::Time Now,
                                                 GuaranteedPlan &Out) {
  Search S = this->begin(Held, Account, Shape, Now, Out);
  S.OneCell = Shape.Spread != Adjacency::DataCentre;
  if (this->holdsUnused(S))
    return this->attemptAll(S, Out) ? GuaranteedPlanResult::Planned
                                    : GuaranteedPlanResult::Blocked;
  if (Shape.Spread != Adjacency::Rack)
    return GuaranteedPlanResult::Exceeds;
  // Several cells may happen to be available in one rack; the guarantee does
  // not promise that.
  S.OneCell = false;
  if (!this->holdsUnused(S))
    return GuaranteedPlanResult::Exceeds;
  for (S.Rack = 0; S.Rack < Held.topology().rackCount(); ++S.Rack)
    if (this->attempt(S, Out))
      return GuaranteedPlanResult::Planned;
  return GuaranteedPlanResult::Exceeds;
}

} // namespace vanillayard
