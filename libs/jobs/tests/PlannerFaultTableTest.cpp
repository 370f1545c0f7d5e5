#include "JobsSimulation.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

using namespace vanillayard;

namespace {

/// A fault that a test injects into a running simulation.
/// JobsSimulation::heal() ends it.
struct FaultCase {
  const char *Name;
  void (*Apply)(JobsSimulation &Sim);
};

} // namespace

// Host 0 is the planner when the fault is injected; host 1 takes over from it.
// Worker 0 is used by the repeatable gang, worker 2 by the gang that must not
// run twice.
static const FaultCase Faults[] = {
    {"none", [](JobsSimulation &) {}},
    {"store_down",
     [](JobsSimulation &Sim) { Sim.Hosts[0].Store->setDown(true); }},
    {"store_partitioned",
     [](JobsSimulation &Sim) { Sim.Hosts[0].Store->setPartitioned(true); }},
    {"store_loses_answers",
     [](JobsSimulation &Sim) { Sim.Hosts[0].Store->loseAnswers(4); }},
    {"store_slow",
     [](JobsSimulation &Sim) {
       Sim.Hosts[0].Store->setLatency(absl::Milliseconds(900));
     }},
    {"store_writes_take_effect_late",
     [](JobsSimulation &Sim) {
       Sim.Hosts[0].Store->setLatency(absl::Milliseconds(2500));
     }},
    {"store_reads_are_stale",
     [](JobsSimulation &Sim) { Sim.Hosts[0].Store->setStaleReads(3); }},
    {"worker_dies",
     [](JobsSimulation &Sim) {
       Sim.Fleet.kill(Sim.address(Sim.FaultyWorker));
     }},
    {"worker_restarts",
     [](JobsSimulation &Sim) {
       Sim.Fleet.restart(Sim.address(Sim.FaultyWorker));
     }},
    {"worker_loses_answers",
     [](JobsSimulation &Sim) {
       Sim.Fleet.faults(Sim.address(Sim.FaultyWorker)).LoseAnswers = 4;
     }},
    {"worker_answers_late",
     [](JobsSimulation &Sim) {
       Sim.Fleet.faults(Sim.address(Sim.FaultyWorker)).AnswerDelay =
           absl::Milliseconds(1500);
     }},
    {"worker_answers_crossed",
     [](JobsSimulation &Sim) {
       Sim.Fleet.faults(Sim.address(Sim.FaultyWorker)).CrossAnswers = 3;
     }},
    {"worker_answers_truncated",
     [](JobsSimulation &Sim) {
       Sim.Fleet.faults(Sim.address(Sim.FaultyWorker)).TruncateAnswers = 3;
     }},
    {"worker_frozen",
     [](JobsSimulation &Sim) {
       Sim.Fleet.setFrozen(Sim.address(Sim.FaultyWorker), true);
     }},
    {"link_cut",
     [](JobsSimulation &Sim) {
       Sim.Hosts[0].Workers->setLinkCut(Sim.address(Sim.FaultyWorker), true);
     }},
    {"planner_cut_from_all_workers",
     [](JobsSimulation &Sim) { Sim.Hosts[0].Workers->setAllLinksCut(true); }},
    {"planner_dies", [](JobsSimulation &Sim) { Sim.failOver(0, 1, true); }},
    {"planner_pauses", [](JobsSimulation &Sim) { Sim.failOver(0, 1, false); }},
    {"two_planners",
     [](JobsSimulation &Sim) { Sim.Hosts[1].Planner->setActive(true); }},
    {"planner_gives_up_the_role",
     [](JobsSimulation &Sim) {
       if (Sim.Hosts[0].Planner)
         Sim.Hosts[0].Planner->setActive(false);
       Sim.Hosts[1].Planner->setActive(true);
     }},
    {"worker_drains",
     [](JobsSimulation &Sim) {
       Sim.setWorkerDraining(Sim.FaultyWorker, true);
     }},
    {"notices_lost", [](JobsSimulation &Sim) { Sim.LoseNotices = true; }},
};

static bool isPlannerHostAlive(const JobsSimulation &Sim) {
  return Sim.Hosts[0].Planner != nullptr;
}

// Submits three jobs, applies the two faults at their times, heals the
// simulation, and expects that every accepted job ends with one outcome and
// that the oracle found no violation.
static void runCase(const FaultCase &First, absl::Duration FirstAt,
                    const FaultCase &Second, absl::Duration SecondAt,
                    size_t FaultyWorker) {
  SCOPED_TRACE(fmt::format("{} at {}, {} at {}", First.Name,
                           absl::FormatDuration(FirstAt), Second.Name,
                           absl::FormatDuration(SecondAt)));
  JobsSimulation Sim(2, 2, 2);
  Sim.FaultyWorker = FaultyWorker;
  Sim.Hosts[0].Planner->setActive(true);
  Sim.runFor(absl::Seconds(1));
  JobId RepeatableJob = Sim.submit(
      JobsSimulation::makeSpec("small", 3, 4, absl::Seconds(8), true), "a", 1);
  JobId NonRepeatableJob = Sim.submit(
      JobsSimulation::makeSpec("big", 2, 8, absl::Seconds(8), false), "b", 1);
  JobId SingleMemberJob = Sim.submit(
      JobsSimulation::makeSpec("other", 1, 1, absl::Seconds(2), false), "c", 1);
  Sim.runFor(FirstAt);
  First.Apply(Sim);
  Sim.runFor(SecondAt - FirstAt);
  if (isPlannerHostAlive(Sim))
    Second.Apply(Sim);
  Sim.runFor(absl::Seconds(20));
  Sim.heal(1);
  EXPECT_TRUE(Sim.runUntilEnded(absl::Seconds(120)));
  EXPECT_EQ(Sim.Accepted.size(), 3u);
  EXPECT_EQ(Sim.violation(), "");
  EXPECT_EQ(Sim.stateOf(RepeatableJob), JobState::Finished);
  for (const JobId &Id : {NonRepeatableJob, SingleMemberJob}) {
    JobState State = Sim.stateOf(Id);
    EXPECT_TRUE(State == JobState::Finished ||
                State == JobState::OutcomeUnknown)
        << JobStateNames.nameOf(State);
    size_t Members = static_cast<size_t>(Sim.recordOf(Id)->Spec.Shape.Members);
    EXPECT_TRUE(State != JobState::Finished ||
                Sim.runsOf(Id).size() == Members);
  }
}

// Times of the first fault after submission: while leases are acquired, while
// the placement is written, and while the gangs run.
static const absl::Duration FaultTimes[] = {
    absl::Milliseconds(3), absl::Milliseconds(6), absl::Milliseconds(9),
    absl::Seconds(3)};

// Guards against a gang that runs in part, a second start of a job that is not
// repeatable, and a job without an outcome or with two, after a single fault.
TEST(PlannerFaultTableTest, EachFaultAlone) {
  for (const FaultCase &Fault : Faults)
    for (absl::Duration At : FaultTimes)
      for (size_t Worker : {0, 2})
        runCase(Fault, At, Faults[0], At + absl::Seconds(1), Worker);
}

// Guards against the same failures when the fault is repeated after 4 s.
TEST(PlannerFaultTableTest, EachFaultTwice) {
  for (const FaultCase &Fault : Faults)
    for (absl::Duration At : FaultTimes)
      for (size_t Worker : {0, 2})
        runCase(Fault, At, Fault, At + absl::Seconds(4), Worker);
}

// Guards against the same failures when any two faults come within 2.5 s of
// each other.
TEST(PlannerFaultTableTest, FaultsInPairs) {
  for (const FaultCase &First : Faults)
    for (const FaultCase &Second : Faults)
      runCase(First, absl::Milliseconds(6), Second, absl::Milliseconds(2500),
              2);
}
