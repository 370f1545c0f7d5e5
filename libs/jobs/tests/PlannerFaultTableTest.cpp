#include "JobsWorld.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

using namespace vanillayard;

namespace {

/// A fault that is put on a running world; JobsWorld::heal() ends it.
struct FaultCase {
  const char *Name;
  void (*Apply)(JobsWorld &World);
};

} // namespace

// Host 0 is the planner when the fault comes, host 1 follows it. Worker 0 is
// used by the repeatable gang, worker 2 by the one that must not run twice.
static const FaultCase Faults[] = {
    {"none", [](JobsWorld &) {}},
    {"store_down", [](JobsWorld &W) { W.Hosts[0].Service->setDown(true); }},
    {"store_partitioned",
     [](JobsWorld &W) { W.Hosts[0].Service->setPartitioned(true); }},
    {"store_loses_answers",
     [](JobsWorld &W) { W.Hosts[0].Service->loseAnswers(4); }},
    {"store_slow",
     [](JobsWorld &W) {
       W.Hosts[0].Service->setLatency(absl::Milliseconds(900));
     }},
    {"store_writes_take_effect_late",
     [](JobsWorld &W) {
       W.Hosts[0].Service->setLatency(absl::Milliseconds(2500));
     }},
    {"store_reads_are_stale",
     [](JobsWorld &W) { W.Hosts[0].Service->setStaleReads(3); }},
    {"worker_dies",
     [](JobsWorld &W) { W.Fleet.kill(W.address(W.FaultyWorker)); }},
    {"worker_restarts",
     [](JobsWorld &W) { W.Fleet.restart(W.address(W.FaultyWorker)); }},
    {"worker_loses_answers",
     [](JobsWorld &W) {
       W.Fleet.faults(W.address(W.FaultyWorker)).LoseAnswers = 4;
     }},
    {"worker_answers_late",
     [](JobsWorld &W) {
       W.Fleet.faults(W.address(W.FaultyWorker)).AnswerDelay =
           absl::Milliseconds(1500);
     }},
    {"worker_answers_crossed",
     [](JobsWorld &W) {
       W.Fleet.faults(W.address(W.FaultyWorker)).CrossAnswers = 3;
     }},
    {"worker_answers_truncated",
     [](JobsWorld &W) {
       W.Fleet.faults(W.address(W.FaultyWorker)).TruncateAnswers = 3;
     }},
    {"worker_frozen",
     [](JobsWorld &W) { W.Fleet.setFrozen(W.address(W.FaultyWorker), true); }},
    {"link_cut",
     [](JobsWorld &W) {
       W.Hosts[0].Workers->setLinkCut(W.address(W.FaultyWorker), true);
     }},
    {"planner_cut_from_all_workers",
     [](JobsWorld &W) { W.Hosts[0].Workers->setAllLinksCut(true); }},
    {"planner_dies", [](JobsWorld &W) { W.failOver(0, 1, true); }},
    {"planner_pauses", [](JobsWorld &W) { W.failOver(0, 1, false); }},
    {"two_planners",
     [](JobsWorld &W) { W.Hosts[1].Planner->setPlanner(true); }},
    {"planner_gives_up_the_role",
     [](JobsWorld &W) {
       if (W.Hosts[0].Planner)
         W.Hosts[0].Planner->setPlanner(false);
       W.Hosts[1].Planner->setPlanner(true);
     }},
    {"worker_drains",
     [](JobsWorld &W) { W.setWorkerDraining(W.FaultyWorker, true); }},
    {"notices_lost", [](JobsWorld &W) { W.LoseNotices = true; }},
};

static bool isUsable(const JobsWorld &World) {
  return World.Hosts[0].Planner != nullptr;
}

// Submits, applies the faults at their times, heals, and expects that every
// accepted job ends with one outcome and the oracle found nothing.
static void runCase(const FaultCase &First, absl::Duration FirstAt,
                    const FaultCase &Second, absl::Duration SecondAt,
                    size_t FaultyWorker) {
  SCOPED_TRACE(fmt::format("{} at {}, {} at {}", First.Name,
                           absl::FormatDuration(FirstAt), Second.Name,
                           absl::FormatDuration(SecondAt)));
  JobsWorld World(2, 2, 2);
  World.FaultyWorker = FaultyWorker;
  World.Hosts[0].Planner->setPlanner(true);
  World.run(absl::Seconds(1));
  JobId Again = World.submit(
      JobsWorld::spec("small", 3, 4, absl::Seconds(8), true), "a", 1);
  JobId Once = World.submit(
      JobsWorld::spec("big", 2, 8, absl::Seconds(8), false), "b", 1);
  JobId Single = World.submit(
      JobsWorld::spec("other", 1, 1, absl::Seconds(2), false), "c", 1);
  World.run(FirstAt);
  First.Apply(World);
  World.run(SecondAt - FirstAt);
  if (isUsable(World))
    Second.Apply(World);
  World.run(absl::Seconds(20));
  World.heal(1);
  EXPECT_TRUE(World.runUntilEnded(absl::Seconds(120)));
  EXPECT_EQ(World.Accepted.size(), 3u);
  EXPECT_EQ(World.violation(), "");
  EXPECT_EQ(World.stateOf(Again), JobState::Finished);
  for (const JobId &Id : {Once, Single}) {
    JobState State = World.stateOf(Id);
    EXPECT_TRUE(State == JobState::Finished ||
                State == JobState::OutcomeUnknown)
        << JobStateNames.nameOf(State);
    size_t Members = static_cast<size_t>(World.record(Id)->Spec.Shape.Members);
    EXPECT_TRUE(State != JobState::Finished ||
                World.runsOf(Id).size() == Members);
  }
}

// Times of the first fault: while leases are acquired, while the placement is
// written, and while the gangs run.
static const absl::Duration Moments[] = {
    absl::Milliseconds(3), absl::Milliseconds(6), absl::Milliseconds(9),
    absl::Seconds(3)};

TEST(PlannerFaultTableTest, EachFaultAlone) {
  for (const FaultCase &Fault : Faults)
    for (absl::Duration At : Moments)
      for (size_t Worker : {0, 2})
        runCase(Fault, At, Faults[0], At + absl::Seconds(1), Worker);
}

TEST(PlannerFaultTableTest, EachFaultTwice) {
  for (const FaultCase &Fault : Faults)
    for (absl::Duration At : Moments)
      for (size_t Worker : {0, 2})
        runCase(Fault, At, Fault, At + absl::Seconds(4), Worker);
}

TEST(PlannerFaultTableTest, FaultsInPairs) {
  for (const FaultCase &First : Faults)
    for (const FaultCase &Second : Faults)
      runCase(First, absl::Milliseconds(6), Second, absl::Milliseconds(2500),
              2);
}
