#include "SmallFleet.h"
#include "placement/CellPlacement.h"
#include "placement/CellTable.h"
#include "placement/FirstFit.h"
#include "placement/Fragmentation.h"
#include "placement/Occupancy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <bit>
#include <cstdio>
#include <map>
#include <random>

using namespace vanillayard;

// Counts the free aligned cells of Size, a power of two, by checking each one.
static int alignedCells(uint8_t Mask, int Size) {
  int Count = 0;
  for (int At = 0; At < 8; At += Size) {
    unsigned Cell = ((1U << Size) - 1) << At;
    Count += (Mask & Cell) == Cell ? 1 : 0;
  }
  return Count;
}

static bool fitsByCounting(const Occupancy &Occ, const GangShape &Shape) {
  const Topology &Topo = Occ.topology();
  int Rack = 0;
  int All = 0;
  for (int W = 0; W < Topo.workerCount(); ++W) {
    Rack = W == Topo.rackBegin(Topo.rackOf(W)) ? 0 : Rack;
    int WorkerCapacity =
        std::min(alignedCells(Occ.freeMask(W), Shape.AcceleratorsPerMember),
                 Occ.freeSlots(W));
    Rack += WorkerCapacity;
    All += WorkerCapacity;
    int Area = Shape.RequiredAdjacency == Adjacency::Worker ? WorkerCapacity
               : Shape.RequiredAdjacency == Adjacency::Rack ? Rack
                                                            : All;
    if (Area >= Shape.Members)
      return true;
  }
  return false;
}

static void checkPlaces(const Occupancy &Occ, const GangShape &Shape,
                        const GangPlacement &Places) {
  const Topology &Topo = Occ.topology();
  RC_ASSERT(static_cast<int>(Places.size()) == Shape.Members);
  std::vector<uint8_t> Used(static_cast<size_t>(Topo.workerCount()));
  for (const MemberPlace &P : Places) {
    RC_ASSERT(std::popcount(P.Mask) == Shape.AcceleratorsPerMember);
    RC_ASSERT((Occ.freeMask(P.Worker) & P.Mask) == P.Mask);
    RC_ASSERT((Used[P.Worker] & P.Mask) == 0);
    Used[P.Worker] |= P.Mask;
    if (Shape.RequiredAdjacency == Adjacency::Worker)
      RC_ASSERT(P.Worker == Places[0].Worker);
    if (Shape.RequiredAdjacency == Adjacency::Rack)
      RC_ASSERT(Topo.rackOf(P.Worker) == Topo.rackOf(Places[0].Worker));
  }
}

static GangShape arbitraryShape() {
  GangShape Shape;
  Shape.Members = *rc::gen::inRange(1, 12);
  Shape.AcceleratorsPerMember = 1 << *rc::gen::inRange(0, 4);
  Shape.RequiredAdjacency = *rc::gen::element(
      Adjacency::Worker, Adjacency::Rack, Adjacency::DataCentre);
  return Shape;
}

// Guards against a gang that waits although it fits, and against a place that
// is held, unaligned, used twice or outside the adjacency.
RC_GTEST_PROP(CellPlacementTest, FindsAPlaceExactlyWhenThereIsOne, ()) {
  Topology Topo = smallFleet(2, 3);
  Occupancy Occ(Topo);
  int Other = Occ.addHolder(0, false, absl::UnixEpoch());
  for (int W = 0; W < Topo.workerCount(); ++W)
    Occ.place(Other, {W, *rc::gen::arbitrary<uint8_t>()});
  GangShape Shape = arbitraryShape();
  CellPlacement Policy;
  GangPlacement Places;
  bool Found = Policy.choose(Occ, Shape, {}, Places);
  RC_ASSERT(Found == fitsByCounting(Occ, Shape));
  if (!Found)
    return;
  checkPlaces(Occ, Shape, Places);
  for (const MemberPlace &P : Places)
    RC_ASSERT(alignedCells(P.Mask, Shape.AcceleratorsPerMember) == 1);
  FirstFit Baseline;
  if (Baseline.choose(Occ, Shape, {}, Places))
    checkPlaces(Occ, Shape, Places);
}

// Guards against a job that waits forever because it can never fit, and against
// one that is rejected although an idle data centre could hold it.
RC_GTEST_PROP(TopologyTest, NeverFitsExactlyWhenAnIdleFleetCannotHoldIt, ()) {
  Topology Topo = smallFleet(2, 2, *rc::gen::element(4, 8));
  Occupancy Idle(Topo);
  GangShape Shape = arbitraryShape();
  Shape.Members = *rc::gen::inRange(1, 40);
  RC_ASSERT(Topo.neverFits(Shape) == !fitsByCounting(Idle, Shape));
}

// Guards against a member that is placed in a larger cell although a smaller
// one is free.
TEST(CellTableTest, TakesTheSmallestCellThatFits) {
  const CellTable &Cells = CellTable::get();
  // 0x1f has a cell of four and a single accelerator; the single is taken.
  EXPECT_EQ(Cells.pick(0x1f, 1), 0x10);
  EXPECT_EQ(Cells.pick(0x1f, 4), 0x0f);
  EXPECT_EQ(Cells.pick(0x1f, 8), 0);
  EXPECT_EQ(std::popcount(Cells.pick(0xff, 6)), 6);
  EXPECT_EQ(Cells.capacity(0xff, 3), 2);
}

struct MixedLoadResult {
  int WholeWorkersStarted = 0;
  int Refused = 0;
  double MeanFragmentation = 0;
};

// Simulates the same arrivals and run times for every policy. A job that does
// not fit at once is dropped.
static MixedLoadResult runMixedLoad(PlacementPolicy &Policy) {
  static constexpr int Steps = 20000;
  Topology Topo = smallFleet(4, 6);
  Occupancy Occ(Topo);
  std::mt19937 Random(42);
  std::multimap<int, int> Ends;
  GangPlacement Places;
  MixedLoadResult Result;
  for (int Step = 0; Step < Steps; ++Step) {
    while (!Ends.empty() && Ends.begin()->first <= Step) {
      Occ.removeHolder(Ends.begin()->second);
      Ends.erase(Ends.begin());
    }
    int Size = 1 << (Random() % 4);
    int RunTime = 1 + static_cast<int>(Random() % 80);
    if (Policy.choose(Occ, {1, Size, Adjacency::Rack}, {}, Places)) {
      int Holder = Occ.addHolder(0, false, absl::UnixEpoch());
      Occ.place(Holder, Places[0]);
      Ends.emplace(Step + RunTime, Holder);
      Result.WholeWorkersStarted += Size == 8 ? 1 : 0;
    } else {
      ++Result.Refused;
    }
    Result.MeanFragmentation +=
        fragmentation(Occ, 8, Adjacency::DataCentre) / Steps;
  }
  return Result;
}

// Guards against a best fit that divides large free cells needlessly: more jobs
// that need a whole worker must start than with first fit.
TEST(FragmentationTest, CellsKeepMoreWholeWorkersThanFirstFit) {
  CellPlacement Cells;
  FirstFit First;
  MixedLoadResult Best = runMixedLoad(Cells);
  MixedLoadResult Baseline = runMixedLoad(First);
  RecordProperty("cells_refused", Best.Refused);
  RecordProperty("first_fit_refused", Baseline.Refused);
  printf("cells: %d whole workers, %d refused, fragmentation %.3f\n"
         "first fit: %d whole workers, %d refused, fragmentation %.3f\n",
         Best.WholeWorkersStarted, Best.Refused, Best.MeanFragmentation,
         Baseline.WholeWorkersStarted, Baseline.Refused,
         Baseline.MeanFragmentation);
  EXPECT_GT(Best.WholeWorkersStarted, Baseline.WholeWorkersStarted);
  EXPECT_LT(Best.MeanFragmentation, Baseline.MeanFragmentation);
}
