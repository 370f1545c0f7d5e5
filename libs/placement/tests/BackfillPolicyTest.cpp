#include "SmallFleet.h"
#include "placement/CellPlacement.h"
#include "placement/Occupancy.h"
#include "placement/ReservationBackfill.h"
#include "placement/RunTimeCorrection.h"
#include "placement/StrictFifo.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

using namespace vanillayard;

// Simulates a queue in which a gang that needs all workers of a rack waits
// while small jobs keep arriving. The declared run times of the jobs are wrong
// by up to ten times.
struct QueueSimulation {
  static constexpr absl::Duration LongestRun = absl::Seconds(300);

  Topology Topo = smallFleet(2, 3);
  Occupancy Occ{Topo};
  CellPlacement Policy;
  std::mt19937 Random{42};
  std::multimap<absl::Time, int> Running;
  std::vector<absl::Time> Ends;
  std::vector<WaitingGang> Queue;
  absl::Time Now = absl::UnixEpoch();
  int Backfilled = 0;

  bool startGang(const WaitingGang &Gang, std::span<const uint8_t> Denied) {
    GangPlacement Places;
    if (!this->Policy.choose(this->Occ, Gang.Shape, Denied, Places))
      return false;
    int Holder = this->Occ.addHolder(0, false, this->Now);
    for (const MemberPlace &P : Places)
      this->Occ.place(Holder, P);
    absl::Duration Actual = std::min(
        LongestRun, Gang.ExpectedRunTime * (this->Random() % 2 ? 10.0 : 0.1));
    this->Ends.resize(static_cast<size_t>(this->Occ.holderCount()));
    this->Ends[static_cast<size_t>(Holder)] = this->Now + Gang.ExpectedRunTime;
    this->Running.emplace(this->Now + Actual, Holder);
    return true;
  }

  void runPass(BackfillPolicy &Backfill) {
    Backfill.beginPass(this->Occ, this->Now);
    std::vector<WaitingGang> Left;
    bool MayBackfill = true;
    for (const WaitingGang &Gang : this->Queue) {
      if (MayBackfill && this->startGang(Gang, Backfill.deniedMasks(Gang))) {
        this->Backfilled += Left.empty() ? 0 : 1;
        continue;
      }
      MayBackfill =
          MayBackfill && Backfill.onBlocked(this->Occ, Gang, this->Ends);
      Left.push_back(Gang);
    }
    this->Queue = Left;
  }

  void runStep(BackfillPolicy &Backfill) {
    this->Now += absl::Seconds(1);
    while (!this->Running.empty() &&
           this->Running.begin()->first <= this->Now) {
      this->Occ.removeHolder(this->Running.begin()->second);
      this->Running.erase(this->Running.begin());
    }
    uint64_t Id = static_cast<uint64_t>(absl::ToUnixSeconds(this->Now));
    if (this->Queue.size() < 30)
      this->Queue.push_back({1000 + Id,
                             {1, 1 << (this->Random() % 3), Adjacency::Rack},
                             false,
                             absl::Seconds(10 + this->Random() % 40),
                             this->Now});
    this->runPass(Backfill);
  }

  // Returns how long the gang waits, at most Limit.
  absl::Duration waitOfGang(BackfillPolicy &Backfill, absl::Duration Limit) {
    for (int I = 0; I < 200; ++I)
      this->runStep(Backfill);
    absl::Time Since = this->Now;
    this->Queue.push_back(
        {1, {3, 8, Adjacency::Rack}, false, absl::Seconds(20), Since});
    auto Waits = [this] {
      return std::any_of(this->Queue.begin(), this->Queue.end(),
                         [](const WaitingGang &G) { return G.Id == 1; });
    };
    while (Waits() && this->Now - Since < Limit)
      this->runStep(Backfill);
    return this->Now - Since;
  }
};

// Guards against starvation of a large gang by small jobs with wrong run times:
// after MaxGangWait, only jobs that already run or have waited longer may delay
// it.
TEST(BackfillPolicyTest, GangStartsWithinBoundDespiteWrongRunTimes) {
  absl::Duration MaxGangWait = absl::Seconds(120);
  ReservationBackfill Backfill(MaxGangWait);
  QueueSimulation Run;
  // After MaxGangWait, the running jobs end first, and jobs that have waited
  // longer than the gang may run once on its workers.
  absl::Duration Bound =
      MaxGangWait + 2 * QueueSimulation::LongestRun + absl::Seconds(5);
  EXPECT_LT(Run.waitOfGang(Backfill, absl::Hours(3)), Bound);
  EXPECT_GT(Run.Backfilled, 20);
}

// Guards against a strict baseline in which a job starts before a blocked gang
// that is ahead of it.
TEST(BackfillPolicyTest, StrictFifoNeverBackfills) {
  StrictFifo Strict;
  QueueSimulation Run;
  Run.waitOfGang(Strict, absl::Hours(1));
  EXPECT_EQ(Run.Backfilled, 0);
}

// Guards against a job that starts on reserved workers although it is expected
// to end after the reservation starts.
TEST(BackfillPolicyTest, OnlyShortOrReclaimableWorkIsBackfilled) {
  Topology Topo = smallFleet(1, 1);
  Occupancy Occ(Topo);
  absl::Time Now = absl::UnixEpoch();
  int Running = Occ.addHolder(0, false, Now);
  Occ.place(Running, {0, 0x01});
  std::vector<absl::Time> Ends{Now + absl::Seconds(60)};
  ReservationBackfill Backfill(absl::Hours(1));
  Backfill.beginPass(Occ, Now);
  WaitingGang Whole{1, {1, 8, Adjacency::Rack}, false, absl::Seconds(5), Now};
  EXPECT_TRUE(Backfill.onBlocked(Occ, Whole, Ends));
  WaitingGang Small{2, {1, 1, Adjacency::Rack}, false, absl::Seconds(60), Now};
  EXPECT_TRUE(Backfill.deniedMasks(Small).empty());
  Small.ExpectedRunTime = absl::Seconds(61);
  EXPECT_FALSE(Backfill.deniedMasks(Small).empty());
  Small.ExpectedRunTime = absl::ZeroDuration();
  EXPECT_FALSE(Backfill.deniedMasks(Small).empty());
  Small.Reclaimable = true;
  EXPECT_TRUE(Backfill.deniedMasks(Small).empty());
}

// Guards against a correction that does not converge to the actual run times,
// and against one that is applied to other accounts.
TEST(RunTimeCorrectionTest, ConvergesToActualRunTimes) {
  RunTimeCorrection Correction;
  ClientAccountId Account("a");
  KindOfWorkId Kind("k");
  absl::Duration Declared = absl::Seconds(100);
  EXPECT_EQ(Correction.expected(Account, Kind, Declared), Declared);
  for (int I = 0; I < 40; ++I)
    Correction.learn(Account, Kind, Declared, absl::Seconds(900));
  absl::Duration Expected = Correction.expected(Account, Kind, Declared);
  EXPECT_NEAR(absl::ToDoubleSeconds(Expected), 900, 1);
  EXPECT_EQ(Correction.expected(ClientAccountId("b"), Kind, Declared),
            Declared);
}
