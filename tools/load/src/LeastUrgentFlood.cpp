#include "LeastUrgentFlood.h"

#include "load/Targets.h"

namespace vanillayard {

/// Urgent tasks are as short as a price check. Flood tasks are long, so that
/// each occupies its slot for a long time, and so that capacity is low enough
/// in requests per second for one machine to send ten times that rate.
static constexpr absl::Duration UrgentRunTime = absl::Milliseconds(100);
static constexpr absl::Duration FloodRunTime = absl::Seconds(4);
static constexpr double UrgentDemandOfCapacity = 0.02;
static constexpr absl::Duration UrgentDeadline = absl::Seconds(5);
static constexpr absl::Duration FloodDeadline = absl::Seconds(8);
static constexpr double P99 = 0.99;

absl::Status LeastUrgentFlood::measure(Trial &T) {
  const Deployment &TestDeployment = T.Options.TestDeployment;
  LoadStream Urgent = streamOf(TestDeployment, TestDeployment.MostUrgent,
                               "urgent", UrgentRunTime, UrgentDemandOfCapacity);
  Urgent.Deadline = UrgentDeadline;
  LoadStream Flood = streamOf(TestDeployment, TestDeployment.LeastUrgent,
                              "flood", FloodRunTime, targets::FloodFactor);
  Flood.Deadline = FloodDeadline;

  auto Alone = this->runPhase(T, "alone", {Urgent});
  if (!Alone.ok())
    return Alone.status();
  addAnsweredShare(T, "alone", Alone->ofClass("urgent"));
  auto Flooded = this->runPhase(T, "flood", {Urgent, Flood});
  if (!Flooded.ok())
    return Flooded.status();

  double AloneP99 = Alone->ofClass("urgent").Completion.quantile(P99);
  double FloodP99 = Flooded->ofClass("urgent").Completion.quantile(P99);
  const GroupRecord &FloodRecord = Flooded->ofClass("flood");
  double Capacity = Flood.RatePerSecond / targets::FloodFactor *
                    absl::ToDoubleSeconds(this->phaseTime(T.Options));
  T.add({"p99 of the urgent kind alone", "s", AloneP99, {}});
  T.add({"p99 of the urgent kind in the flood", "s", FloodP99, {}});
  T.add({"p99 in the flood / alone", "ratio", FloodP99 / AloneP99,
         Target{Target::Bound::AtMost, targets::MaxUrgentP99Ratio, false}});
  T.add({"flood requests served / capacity",
         "share",
         static_cast<double>(FloodRecord.succeeded()) / Capacity,
         {}});
  return absl::OkStatus();
}

} // namespace vanillayard
