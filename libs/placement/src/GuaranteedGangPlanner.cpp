#include "placement/GuaranteedGangPlanner.h"

#include "placement/CellTable.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace vanillayard {

static constexpr uint8_t WholeWorkerMask = 0xff;

uint8_t GuaranteedGangPlanner::plannableMask(const Search &S,
                                             const MemberPlace &Place) const {
  return static_cast<uint8_t>(
      Place.Mask & S.Occ->usableMask(Place.Worker) &
      ~S.Occ->unreclaimableMask(Place.Worker) &
      ~this->PlannedMasks[static_cast<size_t>(Place.Worker)]);
}

int GuaranteedGangPlanner::capacityOf(
    const Search &S, std::span<const MemberPlace> Places) const {
  int Sum = 0;
  int Largest = 0;
  for (const MemberPlace &P : Places) {
    int PlaceCapacity = CellTable::get().capacity(
        this->plannableMask(S, P), S.Shape.AcceleratorsPerMember);
    Sum += PlaceCapacity;
    Largest = std::max(Largest, PlaceCapacity);
  }
  return S.Shape.RequiredAdjacency == Adjacency::Worker ? Largest : Sum;
}

int GuaranteedGangPlanner::nominalCapacity(const Search &S,
                                           const GuaranteedNeed &Need) const {
  int Level = CellTable::levelOf(S.Shape.AcceleratorsPerMember);
  if (Need.Level < Level)
    return 0;
  int PerWorker = 1 << (Need.Level - Level);
  return S.Shape.RequiredAdjacency == Adjacency::Worker
             ? PerWorker
             : PerWorker * Need.Workers;
}

// Places members in an area until it is full or all members are placed. Returns
// the number of members placed.
int GuaranteedGangPlanner::fillArea(Search &S,
                                    std::span<const MemberPlace> Places,
                                    GuaranteedPlan &Out) {
  const CellTable &Cells = CellTable::get();
  int Size = S.Shape.AcceleratorsPerMember;
  int Before = S.MembersLeft;
  for (const MemberPlace &P : Places) {
    if (S.Shape.RequiredAdjacency == Adjacency::Worker &&
        Cells.capacity(this->plannableMask(S, P), Size) < S.MembersLeft)
      continue;
    while (S.MembersLeft > 0) {
      uint8_t Mask = this->plannableMask(S, P);
      uint8_t Free = static_cast<uint8_t>(Mask & S.Occ->freeMask(P.Worker));
      uint8_t Picked = Cells.pick(Free, Size);
      if (!Picked)
        Picked = Cells.pick(Mask, Size);
      if (!Picked)
        break;
      this->PlannedMasks[static_cast<size_t>(P.Worker)] |= Picked;
      Out.Members.push_back({P.Worker, Picked});
      this->Reclaim.selectVictims(*S.Occ, Out.Members.back());
      --S.MembersLeft;
    }
  }
  return Before - S.MembersLeft;
}

void GuaranteedGangPlanner::useBoundCells(Search &S, GuaranteedPlan &Out) {
  const std::vector<BoundCell> &Cells = this->Ledger->cells();
  for (size_t I = 0; I < Cells.size() && S.MembersLeft > 0; ++I) {
    const BoundCell &Cell = Cells[I];
    if (Cell.Need < 0 ||
        this->Ledger->needs()[static_cast<size_t>(Cell.Need)].Account !=
            S.Account)
      continue;
    int Rack = S.Occ->topology().rackOf(Cell.Area.front().Worker);
    if (S.Rack >= 0 && Rack != S.Rack)
      continue;
    if (S.OneCell && this->capacityOf(S, Cell.Area) < S.MembersLeft)
      continue;
    if (this->fillArea(S, Cell.Area, Out) > 0)
      Out.Cells.push_back(static_cast<int>(I));
  }
}

bool GuaranteedGangPlanner::findBlock(const Search &S, int Level,
                                      std::vector<MemberPlace> &Found) {
  using Key = std::tuple<ReclaimPlanner::Cost, int, int>;
  const CellTable &Cells = CellTable::get();
  const Topology &Topo = S.Occ->topology();
  int Size = 1 << Level;
  MemberPlace Best;
  Key BestKey;
  int First = S.Rack < 0 ? 0 : Topo.rackBegin(S.Rack);
  int End = S.Rack < 0 ? Topo.workerCount() : Topo.rackBegin(S.Rack + 1);
  for (int W = First; W < End; ++W) {
    uint8_t Mask = this->Ledger->claimableMask(*S.Occ, W);
    if (!Cells.capacity(Mask, Size))
      continue;
    uint8_t Block =
        Cells.pick(static_cast<uint8_t>(Mask & S.Occ->freeMask(W)), Size);
    if (!Block)
      Block = Cells.pick(Mask, Size);
    Key BlockKey(this->Reclaim.costOf(*S.Occ, {W, Block}),
                 Cells.dividedLevel(Mask, Size), std::popcount(Mask));
    if (Best.Worker >= 0 && !(BlockKey < BestKey))
      continue;
    Best = {W, Block};
    BestKey = BlockKey;
  }
  if (Best.Worker < 0)
    return false;
  Found.push_back(Best);
  return true;
}

bool GuaranteedGangPlanner::findRackCell(const Search &S, int Workers,
                                         std::vector<MemberPlace> &Found) {
  using Choice = std::pair<ReclaimPlanner::Cost, int>;
  const Topology &Topo = S.Occ->topology();
  std::vector<Choice> Whole;
  std::pair<double, size_t> BestKey;
  for (int R = 0; R < Topo.rackCount(); ++R) {
    if (S.Rack >= 0 && R != S.Rack)
      continue;
    Whole.clear();
    for (int W = Topo.rackBegin(R); W < Topo.rackBegin(R + 1); ++W)
      if (this->Ledger->claimableMask(*S.Occ, W) == WholeWorkerMask)
        Whole.emplace_back(this->Reclaim.costOf(*S.Occ, {W, WholeWorkerMask}),
                           W);
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
      Found.push_back({Whole[static_cast<size_t>(I)].second, WholeWorkerMask});
  }
  return !Found.empty();
}

bool GuaranteedGangPlanner::findAssignedCell(const Search &S, int Need,
                                             std::vector<MemberPlace> &Found) {
  for (AssignedCell &Cell : this->Assignment) {
    if (Cell.Need != Need || Cell.Area.empty())
      continue;
    int Rack = S.Occ->topology().rackOf(Cell.Area.front().Worker);
    if (S.Rack >= 0 && Rack != S.Rack)
      continue;
    Found = Cell.Area;
    Cell.Area.clear();
    return true;
  }
  return false;
}

bool GuaranteedGangPlanner::bindNewCell(Search &S, int Need,
                                        GuaranteedPlan &Out) {
  const GuaranteedNeed &Wanted =
      this->Ledger->needs()[static_cast<size_t>(Need)];
  this->Area.clear();
  bool Found = S.UseAssignment ? this->findAssignedCell(S, Need, this->Area)
               : Wanted.Workers > 1
                   ? this->findRackCell(S, Wanted.Workers, this->Area)
                   : this->findBlock(S, Wanted.Level, this->Area);
  if (!Found)
    return false;
  int Cell = this->Ledger->bindCell(Need, this->Area);
  this->NewCells.push_back(Cell);
  Out.Cells.push_back(Cell);
  this->fillArea(S, this->Area, Out);
  return true;
}

void GuaranteedGangPlanner::useUnusedCells(Search &S, GuaranteedPlan &Out) {
  const std::vector<GuaranteedNeed> &Needs = this->Ledger->needs();
  // Use the smallest cells first, so that large cells stay whole for large
  // gangs.
  for (int Workers = 1; Workers != 0 && S.MembersLeft > 0;) {
    int NextWorkers = 0;
    for (const GuaranteedNeed &Need : Needs)
      if (Need.Account == S.Account && Need.Workers > Workers &&
          (NextWorkers == 0 || Need.Workers < NextWorkers))
        NextWorkers = Need.Workers;
    for (int Level = 0; Level < CellLevels && S.MembersLeft > 0; ++Level)
      for (size_t I = 0; I < Needs.size() && S.MembersLeft > 0; ++I) {
        if (Needs[I].Account != S.Account || Needs[I].Workers != Workers ||
            Needs[I].Level != Level)
          continue;
        int Capacity = this->nominalCapacity(S, Needs[I]);
        if (Capacity == 0 || (S.OneCell && Capacity < S.MembersLeft))
          continue;
        while (S.MembersLeft > 0 && Needs[I].Bound < Needs[I].Count)
          if (!this->bindNewCell(S, static_cast<int>(I), Out))
            break;
      }
    Workers = NextWorkers;
  }
}

void GuaranteedGangPlanner::undoPlan(GuaranteedPlan &Out) {
  for (int Cell : this->NewCells)
    this->Ledger->unbindCell(Cell);
  this->NewCells.clear();
  for (const MemberPlace &P : Out.Members)
    this->PlannedMasks[static_cast<size_t>(P.Worker)] = 0;
  Out.Members.clear();
  Out.Cells.clear();
}

bool GuaranteedGangPlanner::tryPlan(Search &S, GuaranteedPlan &Out) {
  int Before = this->Ledger->deficit(*S.Occ);
  this->Reclaim.reset(this->Reclaim.now());
  S.MembersLeft = S.Shape.Members;
  if (S.UseAssignment)
    this->Ledger->assign(*S.Occ, this->Assignment);
  this->useBoundCells(S, Out);
  this->useUnusedCells(S, Out);
  bool Enough = S.Partial
                    ? !Out.Members.empty() && this->Reclaim.victims().empty()
                    : S.MembersLeft == 0;
  bool Fits = Enough && this->Ledger->deficit(*S.Occ) <= Before;
  if (!Fits) {
    this->undoPlan(Out);
    return false;
  }
  Out.Victims = this->Reclaim.victims();
  this->NewCells.clear();
  for (const MemberPlace &P : Out.Members)
    this->PlannedMasks[static_cast<size_t>(P.Worker)] = 0;
  return true;
}

// Tries the accelerators with the lowest reclaim cost first. If binding these
// would break the guarantee invariant, tries those that
// GuaranteeLedger::assign() found, which are known to keep it.
bool GuaranteedGangPlanner::tryAllPlans(Search S, GuaranteedPlan &Out) {
  for (bool UseAssignment : {false, true}) {
    S.UseAssignment = UseAssignment;
    if (this->tryPlan(S, Out))
      return true;
  }
  return false;
}

bool GuaranteedGangPlanner::hasGuaranteedCapacity(const Search &S) const {
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
GuaranteedGangPlanner::beginSearch(const Occupancy &Occ, int Account,
                                   const GangShape &Shape, absl::Time Now,
                                   GuaranteedPlan &Out) {
  Out.Members.clear();
  Out.Cells.clear();
  Out.Victims.clear();
  this->PlannedMasks.resize(static_cast<size_t>(Occ.topology().workerCount()),
                            0);
  this->Reclaim.reset(Now);
  Search S;
  S.Occ = &Occ;
  S.Account = Account;
  S.Shape = Shape;
  return S;
}

bool GuaranteedGangPlanner::planPartialGang(const Occupancy &Occ, int Account,
                                            const GangShape &Shape,
                                            absl::Time Now,
                                            GuaranteedPlan &Out) {
  Search S = this->beginSearch(Occ, Account, Shape, Now, Out);
  S.Partial = true;
  return this->tryAllPlans(S, Out);
}

GuaranteedPlanResult GuaranteedGangPlanner::plan(const Occupancy &Occ,
                                                 int Account,
                                                 const GangShape &Shape,
                                                 absl::Time Now,
                                                 GuaranteedPlan &Out) {
  Search S = this->beginSearch(Occ, Account, Shape, Now, Out);
  S.OneCell = Shape.RequiredAdjacency != Adjacency::DataCentre;
  if (this->hasGuaranteedCapacity(S))
    return this->tryAllPlans(S, Out) ? GuaranteedPlanResult::Planned
                                     : GuaranteedPlanResult::Blocked;
  if (Shape.RequiredAdjacency != Adjacency::Rack)
    return GuaranteedPlanResult::ExceedsGuarantee;
  // The gang can still fit if several cells are available in one rack, which
  // the guarantee does not ensure.
  S.OneCell = false;
  if (!this->hasGuaranteedCapacity(S))
    return GuaranteedPlanResult::ExceedsGuarantee;
  for (S.Rack = 0; S.Rack < Occ.topology().rackCount(); ++S.Rack)
    if (this->tryPlan(S, Out))
      return GuaranteedPlanResult::Planned;
  return GuaranteedPlanResult::ExceedsGuarantee;
}

} // namespace vanillayard
