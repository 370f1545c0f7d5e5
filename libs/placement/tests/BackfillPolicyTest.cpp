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

// A gang of all workers of a rack waits in a queue into which small jobs, whose
// declared run times are wrong by up to ten times, come without end.
struct QueueRun {
  static constexpr absl::Duration LongestRun = absl::Seconds(300);

  Topology Topo = smallFleet(2, 3);
  Occupancy Held{Topo};
  CellPlacement Policy;
  std::mt19937 Random{42};
  std::multimap<absl::Time, int> Running;
  std::vector<absl::Time> Ends;
  std::vector<WaitingGang> Queue;
  absl::Time Now = absl::UnixEpoch();
  int Backfilled = 0;

  bool start(const WaitingGang &Gang, std::span<const uint8_t> Denied) {
    GangPlacement Places;
    if (!this->Policy.choose(this->Held, Gang.Shape, Denied, Places))
      return false;
    int Holder = this->Held.addHolder(0, false, this->Now);
    for (const MemberPlace &P : Places)
      this->Held.place(Holder, P);
    absl::Duration Actual = std::min(
        LongestRun, Gang.ExpectedRunTime * (this->Random() % 2 ? 10.0 : 0.1));
    this->Ends.resize(static_cast<size_t>(this->Held.holderCount()));
    this->Ends[static_cast<size_t>(Holder)] = this->Now + Gang.ExpectedRunTime;
    this->Running.emplace(this->Now + Actual, Holder);
    return true;
  }

  void pass(BackfillPolicy &Backfill) {
    Backfill.beginPass(this->Held, this->Now);
    std::vector<WaitingGang> Left;
    bool Open = true;
    for (const WaitingGang &Gang : this->Queue) {
      if (Open && this->start(Gang, Backfill.denied(Gang))) {
        this->Backfilled += Left.empty() ? 0 : 1;
        continue;
      }
      Open = Open && Backfill.onBlocked(this->Held, Gang, this->Ends);
      Left.push_back(Gang);
    }
    this->Queue = Left;
  }

  void step(BackfillPolicy &Backfill) {
    this->Now += absl::Seconds(1);
    while (!this->Running.empty() &&
           this->Running.begin()->first <= this->Now) {
      this->Held.removeHolder(this->Running.begin()->second);
      this->Running.erase(this->Running.begin());
    }
    uint64_t Id = static_cast<uint64_t>(absl::ToUnixSeconds(this->Now));
    if (this->Queue.size() < 30)
      this->Queue.push_back({1000 + Id,
                             {1, 1 << (this->Random() % 3), Adjacency::Rack},
                             false,
                             absl::Seconds(10 + this->Random() % 40),
                             this->Now});
    this->pass(Backfill);
  }

  // How long the gang waits, at most \p Limit.
  absl::Duration waitOfGang(BackfillPolicy &Backfill, absl::Duration Limit) {
    for (int I = 0; I < 200; ++I)
      this->step(Backfill);
    absl::Time Since = this->Now;
    this->Queue.push_back(
        {1, {3, 8, Adjacency::Rack}, false, absl::Seconds(20), Since});
    auto Waits = [this] {
      return std::any_of(this->Queue.begin(), this->Queue.end(),
                         [](const WaitingGang &G) { return G.Id == 1; });
    };
    while (Waits() && this->Now - Since < Limit)
      this->step(Backfill);
    return this->Now - Since;
  }
};

// Guards against starvation of a large gang by small jobs with wrong run
// times: past the bound, only jobs that run already can hold it up.
TEST(BackfillPolicyTest, GangStartsWithinTheBoundWhateverIsDeclared) {
  absl::Duration MaxGangWait = absl::Seconds(120);
  ReservationBackfill Backfill(MaxGangWait);
  QueueRun Run;
  // After the bound, the jobs that run end, and jobs that have waited longer
  // than the gang may run once on its workers.
  absl::Duration Bound =
      MaxGangWait + 2 * QueueRun::LongestRun + absl::Seconds(5);
  EXPECT_LT(Run.waitOfGang(Backfill, absl::Hours(3)), Bound);
  EXPECT_GT(Run.Backfilled, 20);
}

// The baseline never lets a job pass.
TEST(BackfillPolicyTest, StrictOrderLetsNothingPass) {
  StrictFifo Strict;
  QueueRun Run;
  Run.waitOfGang(Strict, absl::Hours(1));
  EXPECT_EQ(Run.Backfilled, 0);
}

// Guards against a job that is expected to end too late but starts on reserved
// workers.
TEST(BackfillPolicyTest, OnlyWorkThatEndsInTimeOrIsReclaimablePasses) {
  Topology Topo = smallFleet(1, 1);
  Occupancy Held(Topo);
  absl::Time Now = absl::UnixEpoch();
  int Runs = Held.addHolder(0, false, Now);
  Held.place(Runs, {0, 0x01});
  std::vector<absl::Time> Ends{Now + absl::Seconds(60)};
  ReservationBackfill Backfill(absl::Hours(1));
  Backfill.beginPass(Held, Now);
  WaitingGang Whole{1, {1, 8, Adjacency::Rack}, false, absl::Seconds(5), Now};
  EXPECT_TRUE(Backfill.onBlocked(Held, Whole, Ends));
  WaitingGang Small{2, {1, 1, Adjacency::Rack}, false, absl::Seconds(60), Now};
  EXPECT_TRUE(Backfill.denied(Small).empty());
  Small.ExpectedRunTime = absl::Seconds(61);
  EXPECT_FALSE(Backfill.denied(Small).empty());
  Small.ExpectedRunTime = absl::ZeroDuration();
  EXPECT_FALSE(Backfill.denied(Small).empty());
  Small.Reclaimable = true;
  EXPECT_TRUE(Backfill.denied(Small).empty());
}

TEST(RunTimeCorrectionTest, FollowsTheJobsThatFinished) {
  RunTimeCorrection Correction;
  ClientAccountId Account("a");
  KindId Kind("k");
  absl::Duration Declared = absl::Seconds(100);
  EXPECT_EQ(Correction.expected(Account, Kind, Declared), Declared);
  for (int I = 0; I < 40; ++I)
    Correction.learn(Account, Kind, Declared, absl::Seconds(900));
  absl::Duration Expected = Correction.expected(Account, Kind, Declared);
  EXPECT_NEAR(absl::ToDoubleSeconds(Expected), 900, 1);
  EXPECT_EQ(Correction.expected(ClientAccountId("b"), Kind, Declared),
            Declared);
}
