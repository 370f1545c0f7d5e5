#include "SmallFleet.h"
#include "placement/AdmissionPlanner.h"
#include "placement/CellPlacement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <bit>
#include <map>

using namespace vanillayard;

// The oracle: whether all wanted cells fit in the masks, by trying every
// position of every cell.
struct BruteForce {
  const Topology &Topo;
  std::vector<uint8_t> Free;

  bool fits(std::vector<std::pair<int, int>> Cells) {
    // The same cells in order of size; every position is tried for each.
    std::sort(Cells.rbegin(), Cells.rend());
    return this->fitsFrom(Cells, 0, 0);
  }

  // Equal cells are placed in ascending positions, to try each set once.
  bool fitsFrom(const std::vector<std::pair<int, int>> &Cells, size_t At,
                int First) {
    if (At == Cells.size())
      return true;
    auto [Workers, Level] = Cells[At];
    bool SameNext = At + 1 < Cells.size() && Cells[At + 1] == Cells[At];
    int Count = this->Topo.workerCount();
    int Positions = Workers > 1 ? 1 << Count : Count * (8 >> Level);
    for (int P = First; P < Positions; ++P) {
      std::vector<uint8_t> Before = this->Free;
      if (this->take(Workers, Level, P) &&
          this->fitsFrom(Cells, At + 1, SameNext ? P + 1 : 0))
        return true;
      this->Free = Before;
    }
    return false;
  }

  // A cell of several workers has the set of workers as its position.
  bool take(int Workers, int Level, int Position) {
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
  Occupancy Held{Topo};
  GuaranteeLedger Ledger;
  CellPlacement Policy;
  AdmissionPlanner Planner{Ledger, Policy};
  std::vector<RunningJob> Jobs;

  explicit LedgerModel(std::vector<GuaranteedNeed> Needs)
      : Ledger(Topo, std::move(Needs)) {}

  void end(size_t At) {
    this->Ledger.releaseHolder(this->Jobs[At].Holder);
    this->Held.removeHolder(this->Jobs[At].Holder);
    this->Jobs.erase(this->Jobs.begin() + static_cast<ptrdiff_t>(At));
  }

  AdmissionClass submit(const AdmissionRequest &Request) {
    AdmissionDecision Decision;
    this->Planner.decide(this->Held, Request, absl::UnixEpoch(), Decision);
    if (Decision.Class == AdmissionClass::Wait)
      return Decision.Class;
    for (int Victim : Decision.Plan.Victims) {
      RC_ASSERT(this->Held.holder(Victim).Reclaimable);
      RC_ASSERT(Decision.Class == AdmissionClass::Guaranteed);
      auto Found = std::find_if(
          this->Jobs.begin(), this->Jobs.end(),
          [Victim](const RunningJob &J) { return J.Holder == Victim; });
      this->end(static_cast<size_t>(Found - this->Jobs.begin()));
    }
    bool Reclaimable = Decision.Class == AdmissionClass::BorrowedReclaimable;
    int Holder =
        this->Held.addHolder(Request.Account, Reclaimable, absl::UnixEpoch());
    for (const MemberPlace &P : Decision.Plan.Members) {
      RC_ASSERT((this->Held.usableMask(P.Worker) & P.Mask) == P.Mask);
      RC_ASSERT(this->Held.place(Holder, P));
    }
    RunningJob Job{Holder, Decision.Class, Request.Account, {}};
    for (int Cell : Decision.Plan.Cells) {
      this->Ledger.use(Holder, Cell);
      const auto &Area = this->Ledger.cells()[Cell].Area;
      Job.OwnCells.insert(Job.OwnCells.end(), Area.begin(), Area.end());
    }
    this->Jobs.push_back(Job);
    return Decision.Class;
  }

  std::vector<std::pair<int, int>> cells(bool Unused) const {
    std::vector<std::pair<int, int>> Result;
    for (const GuaranteedNeed &Need : this->Ledger.needs())
      for (int K = Unused ? Need.Bound : 0; K < Need.Count; ++K)
        Result.emplace_back(Need.Workers, Need.Level);
    return Result;
  }

  // Accelerators left when all reclaimable work is removed, and the work
  // within guarantees too if asked.
  BruteForce withoutReclaimable(bool WithoutGuaranteed) const {
    BruteForce Oracle{this->Topo, {}};
    for (int W = 0; W < this->Topo.workerCount(); ++W)
      Oracle.Free.push_back(this->Topo.fullMask(W));
    for (const RunningJob &J : this->Jobs) {
      bool Gone = J.Class == AdmissionClass::BorrowedReclaimable ||
                  (WithoutGuaranteed && J.Class == AdmissionClass::Guaranteed);
      if (Gone)
        continue;
      for (const MemberPlace &P : this->Held.holder(J.Holder).Places) {
        // Members of a larger gang in its account's own cells are its use of
        // the guarantee, like those of a gang within it.
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

  void check() {
    // Whatever ends first, every guarantee as a whole can be met.
    RC_ASSERT(this->withoutReclaimable(true).fits(this->cells(false)));
    BruteForce Now = this->withoutReclaimable(false);
    for (int W = 0; W < this->Topo.workerCount(); ++W)
      Now.Free[W] &= ~this->Ledger.boundMasks()[W];
    bool Fits = Now.fits(this->cells(true));
    RC_ASSERT(Fits);
    RC_ASSERT(this->Ledger.deficit(this->Held) == 0);
  }
};

static std::vector<GuaranteedNeed> anyNeeds() {
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

// Guards against a borrower that cannot be moved and sits where a guarantee
// must fit (G1), and against a guaranteed gang that is not placed although its
// account has an unused cell of its size.
RC_GTEST_PROP(GuaranteeLedgerTest, GuaranteesCanAlwaysBeMet, ()) {
  LedgerModel Model(anyNeeds());
  // Guarantees beyond the fleet are the operators' error.
  RC_PRE(Model.withoutReclaimable(false).fits(Model.cells(false)));
  RC_ASSERT(Model.Ledger.deficit(Model.Held) == 0);
  int Steps = *rc::gen::inRange(1, 40);
  for (int Step = 0; Step < Steps; ++Step) {
    if (!Model.Jobs.empty() && *rc::gen::inRange(0, 3) == 0) {
      Model.end(*rc::gen::inRange<size_t>(0, Model.Jobs.size()));
      Model.check();
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
    Model.check();
  }
}

// Guards against a check that is wrong in either direction: cells of a worker
// nest, so it must agree with the search.
RC_GTEST_PROP(GuaranteeLedgerTest, DeficitAgreesWithTheSearch, ()) {
  LedgerModel Model(anyNeeds());
  int Fixed = Model.Held.addHolder(-1, false, absl::UnixEpoch());
  for (int W = 0; W < Model.Topo.workerCount(); ++W)
    if (*rc::gen::arbitrary<bool>())
      Model.Held.place(Fixed, {W, *rc::gen::arbitrary<uint8_t>()});
  Model.Jobs.push_back({Fixed, AdmissionClass::BorrowedProtected, -1, {}});
  bool Fits = Model.withoutReclaimable(false).fits(Model.cells(true));
  RC_ASSERT((Model.Ledger.deficit(Model.Held) == 0) == Fits);
  std::vector<AssignedCell> Assigned;
  Model.Ledger.assign(Model.Held, Assigned);
  RC_ASSERT((Assigned.size() == Model.cells(true).size()) == Fits);
}

// Guards against a planner that forgets after a restart which work is within
// a guarantee, and then lets others into its cells.
TEST(GuaranteeLedgerTest, FindsTheCellsOfRunningWorkAgain) {
  Topology Topo = smallFleet(1, 3);
  Occupancy Held(Topo);
  GuaranteeLedger Ledger(Topo, {{0, 3, 2, 1, 0}, {1, 2, 1, 1, 0}});
  int Gang = Held.addHolder(0, false, absl::UnixEpoch());
  Held.place(Gang, {1, 0xff});
  Held.place(Gang, {2, 0x0f});
  int Small = Held.addHolder(1, false, absl::UnixEpoch());
  Held.place(Small, {0, 0x30});
  int Borrowed = Held.addHolder(1, false, absl::UnixEpoch());
  Held.place(Borrowed, {0, 0x01});
  EXPECT_TRUE(Ledger.bindExisting(Held, Gang));
  EXPECT_TRUE(Ledger.bindExisting(Held, Small));
  EXPECT_FALSE(Ledger.bindExisting(Held, Borrowed));
  EXPECT_EQ(Ledger.boundMasks()[2], 0xff);
  EXPECT_EQ(Ledger.boundMasks()[0], 0xf0);
  EXPECT_EQ(Ledger.deficit(Held), 0);
  Ledger.releaseHolder(Gang);
  EXPECT_EQ(Ledger.boundMasks()[1], 0);
}

// Guards against a gang that waits, or breaks another guarantee, because the
// cheapest places are the ones that another guarantee needs.
TEST(AdmissionPlannerTest, LeavesThePlacesThatOtherGuaranteesNeed) {
  Topology Topo = smallFleet(1, 3);
  Occupancy Held(Topo);
  // Worker 0: half fixed, half held by costly reclaimable work. Worker 1:
  // idle. Worker 2: all but one accelerator held by reclaimable work.
  int Fixed = Held.addHolder(2, false, absl::UnixEpoch());
  Held.place(Fixed, {0, 0xf0});
  int Costly = Held.addHolder(2, true, absl::UnixEpoch());
  Held.setLostWork(Costly, 1000);
  Held.place(Costly, {0, 0x07});
  int Cheap = Held.addHolder(2, true, absl::UnixEpoch());
  Held.place(Cheap, {2, 0xfe});
  GuaranteeLedger Ledger(Topo, {{0, 2, 1, 1, 0}, {1, 3, 1, 2, 0}});
  CellPlacement Policy;
  AdmissionPlanner Planner(Ledger, Policy);
  AdmissionRequest Request;
  Request.Account = 0;
  Request.Shape = {1, 4, Adjacency::Worker};
  AdmissionDecision Decision;
  Planner.decide(Held, Request, absl::UnixEpoch(), Decision);
  EXPECT_EQ(Decision.Class, AdmissionClass::Guaranteed);
  EXPECT_EQ(Decision.Plan.Members, (GangPlacement{{0, 0x0f}}));
  Ledger.unbind(Decision.Plan.Cells[0]);

  // The smallest free cell is on worker 2, which account 1 needs as a whole.
  Ledger = GuaranteeLedger(Topo, {{1, 3, 1, 2, 0}});
  Request.Account = 2;
  Request.Shape = {1, 1, Adjacency::Worker};
  Held.removeHolder(Costly);
  Costly = Held.addHolder(2, true, absl::UnixEpoch());
  Held.place(Costly, {0, 0x03});
  Planner.decide(Held, Request, absl::UnixEpoch(), Decision);
  EXPECT_EQ(Decision.Class, AdmissionClass::BorrowedProtected);
  ASSERT_EQ(Decision.Plan.Members.size(), 1u);
  EXPECT_EQ(Decision.Plan.Members[0].Worker, 0);
}

// Guards against a gang that its account's own unused cells keep out for ever.
TEST(AdmissionPlannerTest, LargeGangUsesItsAccountsOwnCells) {
  Topology Topo = smallFleet(2, 2);
  Occupancy Held(Topo);
  GuaranteeLedger Ledger(Topo, {{0, 3, 1, 2, 0}, {1, 3, 1, 1, 0}});
  CellPlacement Policy;
  AdmissionPlanner Planner(Ledger, Policy);
  AdmissionRequest Request;
  Request.Account = 0;
  Request.Shape = {3, 8, Adjacency::DataCentre};
  AdmissionDecision Decision;
  Planner.decide(Held, Request, absl::UnixEpoch(), Decision);
  EXPECT_EQ(Decision.Class, AdmissionClass::BorrowedProtected);
  EXPECT_EQ(Decision.Plan.Members.size(), 3u);
  EXPECT_EQ(Decision.Plan.Cells.size(), 2u);
  // With four members, the cell of account 1 would be taken.
  for (int Cell : Decision.Plan.Cells)
    Ledger.unbind(Cell);
  Request.Shape.Members = 4;
  Planner.decide(Held, Request, absl::UnixEpoch(), Decision);
  EXPECT_EQ(Decision.Class, AdmissionClass::Wait);
  EXPECT_EQ(Ledger.deficit(Held), 0);
}

// Guards against reclaim that loses more work than needed: the youngest of
// equal gangs, and the cheaper of two, is stopped.
TEST(ReclaimPlannerTest, LosesTheLeastWork) {
  Topology Topo = smallFleet(1, 3);
  Occupancy Held(Topo);
  GuaranteeLedger Ledger(Topo, {{0, 3, 1, 3, 0}});
  CellPlacement Policy;
  AdmissionPlanner Planner(Ledger, Policy);
  absl::Time Start = absl::UnixEpoch();
  int Wide = Held.addHolder(1, true, Start);
  Held.place(Wide, {0, 0xff});
  int Old = Held.addHolder(1, true, Start);
  Held.place(Old, {1, 0x01});
  int Young = Held.addHolder(1, true, Start + absl::Seconds(5));
  Held.place(Young, {2, 0x80});
  Held.setLostWork(Wide, 100);
  Held.setLostWork(Old, 7);
  Held.setLostWork(Young, 7);
  AdmissionRequest Request;
  Request.Account = 0;
  Request.Shape = {1, 8, Adjacency::Worker};
  AdmissionDecision Decision;
  Planner.decide(Held, Request, Start + absl::Seconds(9), Decision);
  EXPECT_EQ(Decision.Plan.Victims, std::vector<int>{Young});
}
