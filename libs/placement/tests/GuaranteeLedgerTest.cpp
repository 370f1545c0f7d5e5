#include "SmallFleet.h"
#include "placement/AdmissionPlanner.h"
#include "placement/CellPlacement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <bit>
#include <map>

using namespace vanillayard;

// Test oracle: determines whether all cells fit in the free masks by trying
// every position of every cell.
struct BruteForceSearch {
  const Topology &Topo;
  std::vector<uint8_t> Free;

  bool fits(std::vector<std::pair<int, int>> Cells) {
    // Largest cells first, with equal cells next to each other.
    std::sort(Cells.rbegin(), Cells.rend());
    return this->fitsRemaining(Cells, 0, 0);
  }

  // Equal cells are placed in ascending positions, to try each set once.
  bool fitsRemaining(const std::vector<std::pair<int, int>> &Cells, size_t At,
                     int First) {
    if (At == Cells.size())
      return true;
    auto [Workers, Level] = Cells[At];
    bool SameNext = At + 1 < Cells.size() && Cells[At + 1] == Cells[At];
    int Count = this->Topo.workerCount();
    int Positions = Workers > 1 ? 1 << Count : Count * (8 >> Level);
    for (int P = First; P < Positions; ++P) {
      std::vector<uint8_t> Before = this->Free;
      if (this->takeCell(Workers, Level, P) &&
          this->fitsRemaining(Cells, At + 1, SameNext ? P + 1 : 0))
        return true;
      this->Free = Before;
    }
    return false;
  }

  // The position of a cell of several workers is the bit mask of its workers.
  bool takeCell(int Workers, int Level, int Position) {
    if (Workers <= 1) {
      int Width = 1 << Level;
      size_t W = static_cast<size_t>(Position / (8 >> Level));
      unsigned Cell = ((1U << Width) - 1) << (Position % (8 >> Level) * Width);
      if ((this->Free[W] & Cell) != Cell)
        return false;
      this->Free[W] = static_cast<uint8_t>(this->Free[W] & ~Cell);
      return true;
    }
    if (std::popcount(static_cast<unsigned>(Position)) != Workers)
      return false;
    int Rack = -1;
    for (int W = 0; W < this->Topo.workerCount(); ++W) {
      if (!(Position >> W & 1))
        continue;
      if (Rack >= 0 && this->Topo.rackOf(W) != Rack)
        return false;
      Rack = this->Topo.rackOf(W);
      if (this->Free[static_cast<size_t>(W)] != 0xff)
        return false;
      this->Free[static_cast<size_t>(W)] = 0;
    }
    return true;
  }
};

struct RunningJob {
  int Holder = -1;
  AdmissionClass Class = AdmissionClass::Wait;
  int Account = -1;
  /// Accelerators of the guaranteed cells that the job uses.
  std::vector<MemberPlace> OwnCells;
};

struct LedgerModel {
  static constexpr int Accounts = 3;

  Topology Topo = smallFleet(2, 2);
  Occupancy Occ{Topo};
  GuaranteeLedger Ledger;
  CellPlacement Policy;
  AdmissionPlanner Planner{Ledger, Policy};
  std::vector<RunningJob> Jobs;

  explicit LedgerModel(std::vector<GuaranteedNeed> Needs)
      : Ledger(Topo, std::move(Needs)) {}

  void endJob(size_t At) {
    this->Ledger.releaseHolder(this->Jobs[At].Holder);
    this->Occ.removeHolder(this->Jobs[At].Holder);
    this->Jobs.erase(this->Jobs.begin() + static_cast<ptrdiff_t>(At));
  }

  AdmissionClass submit(const AdmissionRequest &Request) {
    AdmissionDecision Decision;
    this->Planner.decide(this->Occ, Request, absl::UnixEpoch(), Decision);
    if (Decision.Class == AdmissionClass::Wait)
      return Decision.Class;
    for (int Victim : Decision.Plan.Victims) {
      RC_ASSERT(this->Occ.holder(Victim).Reclaimable);
      RC_ASSERT(Decision.Class == AdmissionClass::Guaranteed);
      auto Found = std::find_if(
          this->Jobs.begin(), this->Jobs.end(),
          [Victim](const RunningJob &J) { return J.Holder == Victim; });
      this->endJob(static_cast<size_t>(Found - this->Jobs.begin()));
    }
    bool Reclaimable = Decision.Class == AdmissionClass::BorrowedReclaimable;
    int Holder =
        this->Occ.addHolder(Request.Account, Reclaimable, absl::UnixEpoch());
    for (const MemberPlace &P : Decision.Plan.Members) {
      RC_ASSERT((this->Occ.usableMask(P.Worker) & P.Mask) == P.Mask);
      RC_ASSERT(this->Occ.place(Holder, P));
    }
    RunningJob Job{Holder, Decision.Class, Request.Account, {}};
    for (int Cell : Decision.Plan.Cells) {
      this->Ledger.useCell(Holder, Cell);
      const auto &Area = this->Ledger.cells()[Cell].Area;
      Job.OwnCells.insert(Job.OwnCells.end(), Area.begin(), Area.end());
    }
    this->Jobs.push_back(Job);
    return Decision.Class;
  }

  std::vector<std::pair<int, int>> guaranteedCells(bool Unused) const {
    std::vector<std::pair<int, int>> Result;
    for (const GuaranteedNeed &Need : this->Ledger.needs())
      for (int K = Unused ? Need.Bound : 0; K < Need.Count; ++K)
        Result.emplace_back(Need.Workers, Need.Level);
    return Result;
  }

  // Accelerators that are free when all reclaimable work is removed, and with
  // WithoutGuaranteed also the work within guarantees.
  BruteForceSearch freeWithoutReclaimable(bool WithoutGuaranteed) const {
    BruteForceSearch Oracle{this->Topo, {}};
    for (int W = 0; W < this->Topo.workerCount(); ++W)
      Oracle.Free.push_back(this->Topo.fullMask(W));
    for (const RunningJob &J : this->Jobs) {
      bool Gone = J.Class == AdmissionClass::BorrowedReclaimable ||
                  (WithoutGuaranteed && J.Class == AdmissionClass::Guaranteed);
      if (Gone)
        continue;
      for (const MemberPlace &P : this->Occ.holder(J.Holder).Places) {
        // Members that a larger gang has in its account's own cells count as
        // work within the guarantee.
        bool Own = std::any_of(
            J.OwnCells.begin(), J.OwnCells.end(), [&P](const MemberPlace &C) {
              return C.Worker == P.Worker && (C.Mask & P.Mask) == P.Mask;
            });
        if (!Own || !WithoutGuaranteed)
          Oracle.Free[P.Worker] &= ~P.Mask;
      }
    }
    return Oracle;
  }

  void checkGuarantees() {
    // All guarantees can be met in full, even if all work within them ends
    // before any other work that is not reclaimable.
    RC_ASSERT(
        this->freeWithoutReclaimable(true).fits(this->guaranteedCells(false)));
    BruteForceSearch Now = this->freeWithoutReclaimable(false);
    for (int W = 0; W < this->Topo.workerCount(); ++W)
      Now.Free[W] &= ~this->Ledger.boundMasks()[W];
    bool Fits = Now.fits(this->guaranteedCells(true));
    RC_ASSERT(Fits);
    RC_ASSERT(this->Ledger.deficit(this->Occ) == 0);
  }
};

static std::vector<GuaranteedNeed> arbitraryNeeds() {
  std::vector<GuaranteedNeed> Needs;
  int Count = *rc::gen::inRange(1, 6);
  for (int I = 0; I < Count; ++I) {
    GuaranteedNeed Need;
    Need.Account = *rc::gen::inRange(0, LedgerModel::Accounts);
    Need.Workers = *rc::gen::element(1, 1, 1, 2);
    Need.Level = Need.Workers > 1 ? 3 : *rc::gen::inRange(0, 4);
    Need.Count = *rc::gen::inRange(1, 4);
    Needs.push_back(Need);
  }
  return Needs;
}

// Guards against work above a guarantee that cannot be reclaimed and holds
// accelerators that another guarantee needs (G1 in docs/design.md), and against
// a guaranteed gang that is not placed although its account has an unused cell
// of its size.
RC_GTEST_PROP(GuaranteeLedgerTest, GuaranteesCanAlwaysBeMet, ()) {
  LedgerModel Model(arbitraryNeeds());
  // Guarantees that exceed the fleet are a configuration error.
  RC_PRE(
      Model.freeWithoutReclaimable(false).fits(Model.guaranteedCells(false)));
  RC_ASSERT(Model.Ledger.deficit(Model.Occ) == 0);
  int Steps = *rc::gen::inRange(1, 40);
  for (int Step = 0; Step < Steps; ++Step) {
    if (!Model.Jobs.empty() && *rc::gen::inRange(0, 3) == 0) {
      Model.endJob(*rc::gen::inRange<size_t>(0, Model.Jobs.size()));
      Model.checkGuarantees();
      continue;
    }
    AdmissionRequest Request;
    Request.Account = *rc::gen::inRange(0, LedgerModel::Accounts);
    Request.Reclaimable = *rc::gen::arbitrary<bool>();
    int PerMember = 1 << *rc::gen::inRange(0, 4);
    Request.Shape = {*rc::gen::inRange(1, 4), PerMember,
                     *rc::gen::element(Adjacency::Worker, Adjacency::Rack,
                                       Adjacency::DataCentre)};
    int Level = std::countr_zero(static_cast<unsigned>(PerMember));
    bool HasCell =
        std::any_of(Model.Ledger.needs().begin(), Model.Ledger.needs().end(),
                    [&](const GuaranteedNeed &N) {
                      return N.Account == Request.Account &&
                             N.Bound < N.Count && N.Level >= Level &&
                             Request.Shape.Members == 1;
                    });
    AdmissionClass Class = Model.submit(Request);
    RC_ASSERT(!HasCell || Class == AdmissionClass::Guaranteed);
    Model.checkGuarantees();
  }
}

// Guards against a deficit that is reported although all cells fit, and against
// one that is missed. Cells within a worker nest, so deficit() and assign()
// must agree with the brute-force search.
RC_GTEST_PROP(GuaranteeLedgerTest, DeficitAgreesWithBruteForceSearch, ()) {
  LedgerModel Model(arbitraryNeeds());
  int Unreclaimable = Model.Occ.addHolder(-1, false, absl::UnixEpoch());
  for (int W = 0; W < Model.Topo.workerCount(); ++W)
    if (*rc::gen::arbitrary<bool>())
      Model.Occ.place(Unreclaimable, {W, *rc::gen::arbitrary<uint8_t>()});
  Model.Jobs.push_back(
      {Unreclaimable, AdmissionClass::BorrowedProtected, -1, {}});
  bool Fits =
      Model.freeWithoutReclaimable(false).fits(Model.guaranteedCells(true));
  RC_ASSERT((Model.Ledger.deficit(Model.Occ) == 0) == Fits);
  std::vector<AssignedCell> Assigned;
  Model.Ledger.assign(Model.Occ, Assigned);
  RC_ASSERT((Assigned.size() == Model.guaranteedCells(true).size()) == Fits);
}

// Guards against a ledger that does not recognise after a restart which work is
// within a guarantee, so that the planner places other work in its cells.
TEST(GuaranteeLedgerTest, RebindsCellsOfRunningWorkAfterRestart) {
  Topology Topo = smallFleet(1, 3);
  Occupancy Occ(Topo);
  GuaranteeLedger Ledger(Topo, {{0, 3, 2, 1, 0}, {1, 2, 1, 1, 0}});
  int Gang = Occ.addHolder(0, false, absl::UnixEpoch());
  Occ.place(Gang, {1, 0xff});
  Occ.place(Gang, {2, 0x0f});
  int Small = Occ.addHolder(1, false, absl::UnixEpoch());
  Occ.place(Small, {0, 0x30});
  int Borrowed = Occ.addHolder(1, false, absl::UnixEpoch());
  Occ.place(Borrowed, {0, 0x01});
  EXPECT_TRUE(Ledger.bindExisting(Occ, Gang));
  EXPECT_TRUE(Ledger.bindExisting(Occ, Small));
  EXPECT_FALSE(Ledger.bindExisting(Occ, Borrowed));
  EXPECT_EQ(Ledger.boundMasks()[2], 0xff);
  EXPECT_EQ(Ledger.boundMasks()[0], 0xf0);
  EXPECT_EQ(Ledger.deficit(Occ), 0);
  Ledger.releaseHolder(Gang);
  EXPECT_EQ(Ledger.boundMasks()[1], 0);
}

// Guards against a gang that waits, or breaks another guarantee, because the
// cheapest places are the ones that another guarantee needs.
TEST(AdmissionPlannerTest, LeavesThePlacesThatOtherGuaranteesNeed) {
  Topology Topo = smallFleet(1, 3);
  Occupancy Occ(Topo);
  // Worker 0: half held by unreclaimable work, most of the other half by costly
  // reclaimable work. Worker 1: idle. Worker 2: all but one accelerator held by
  // reclaimable work.
  int Unreclaimable = Occ.addHolder(2, false, absl::UnixEpoch());
  Occ.place(Unreclaimable, {0, 0xf0});
  int Costly = Occ.addHolder(2, true, absl::UnixEpoch());
  Occ.setLostWork(Costly, 1000);
  Occ.place(Costly, {0, 0x07});
  int Cheap = Occ.addHolder(2, true, absl::UnixEpoch());
  Occ.place(Cheap, {2, 0xfe});
  GuaranteeLedger Ledger(Topo, {{0, 2, 1, 1, 0}, {1, 3, 1, 2, 0}});
  CellPlacement Policy;
  AdmissionPlanner Planner(Ledger, Policy);
  AdmissionRequest Request;
  Request.Account = 0;
  Request.Shape = {1, 4, Adjacency::Worker};
  AdmissionDecision Decision;
  Planner.decide(Occ, Request, absl::UnixEpoch(), Decision);
  EXPECT_EQ(Decision.Class, AdmissionClass::Guaranteed);
  EXPECT_EQ(Decision.Plan.Members, (GangPlacement{{0, 0x0f}}));
  Ledger.unbindCell(Decision.Plan.Cells[0]);

  // The smallest free cell is on worker 2, which account 1 needs as a whole.
  Ledger = GuaranteeLedger(Topo, {{1, 3, 1, 2, 0}});
  Request.Account = 2;
  Request.Shape = {1, 1, Adjacency::Worker};
  Occ.removeHolder(Costly);
  Costly = Occ.addHolder(2, true, absl::UnixEpoch());
  Occ.place(Costly, {0, 0x03});
  Planner.decide(Occ, Request, absl::UnixEpoch(), Decision);
  EXPECT_EQ(Decision.Class, AdmissionClass::BorrowedProtected);
  ASSERT_EQ(Decision.Plan.Members.size(), 1u);
  EXPECT_EQ(Decision.Plan.Members[0].Worker, 0);
}

// Guards against a gang that never starts because the accelerators that it
// needs are kept for the unused cells of its own account.
TEST(AdmissionPlannerTest, LargeGangUsesItsAccountsOwnCells) {
  Topology Topo = smallFleet(2, 2);
  Occupancy Occ(Topo);
  GuaranteeLedger Ledger(Topo, {{0, 3, 1, 2, 0}, {1, 3, 1, 1, 0}});
  CellPlacement Policy;
  AdmissionPlanner Planner(Ledger, Policy);
  AdmissionRequest Request;
  Request.Account = 0;
  Request.Shape = {3, 8, Adjacency::DataCentre};
  AdmissionDecision Decision;
  Planner.decide(Occ, Request, absl::UnixEpoch(), Decision);
  EXPECT_EQ(Decision.Class, AdmissionClass::BorrowedProtected);
  EXPECT_EQ(Decision.Plan.Members.size(), 3u);
  EXPECT_EQ(Decision.Plan.Cells.size(), 2u);
  // A gang of four members would take the cell of account 1.
  for (int Cell : Decision.Plan.Cells)
    Ledger.unbindCell(Cell);
  Request.Shape.Members = 4;
  Planner.decide(Occ, Request, absl::UnixEpoch(), Decision);
  EXPECT_EQ(Decision.Class, AdmissionClass::Wait);
  EXPECT_EQ(Ledger.deficit(Occ), 0);
}

// Guards against reclaim that loses more work than needed: the planner must
// stop the cheaper of two gangs, and the youngest of equal ones.
TEST(ReclaimPlannerTest, LosesTheLeastWork) {
  Topology Topo = smallFleet(1, 3);
  Occupancy Occ(Topo);
  GuaranteeLedger Ledger(Topo, {{0, 3, 1, 3, 0}});
  CellPlacement Policy;
  AdmissionPlanner Planner(Ledger, Policy);
  absl::Time Start = absl::UnixEpoch();
  int Wide = Occ.addHolder(1, true, Start);
  Occ.place(Wide, {0, 0xff});
  int Old = Occ.addHolder(1, true, Start);
  Occ.place(Old, {1, 0x01});
  int Young = Occ.addHolder(1, true, Start + absl::Seconds(5));
  Occ.place(Young, {2, 0x80});
  Occ.setLostWork(Wide, 100);
  Occ.setLostWork(Old, 7);
  Occ.setLostWork(Young, 7);
  AdmissionRequest Request;
  Request.Account = 0;
  Request.Shape = {1, 8, Adjacency::Worker};
  AdmissionDecision Decision;
  Planner.decide(Occ, Request, Start + absl::Seconds(9), Decision);
  EXPECT_EQ(Decision.Plan.Victims, std::vector<int>{Young});
}
