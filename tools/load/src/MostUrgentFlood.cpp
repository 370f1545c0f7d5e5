#include "MostUrgentFlood.h"

#include "load/DeploymentConfiguration.h"
#include "load/Targets.h"

#include <algorithm>

namespace vanillayard {

static constexpr absl::Duration RunTime = absl::Seconds(1);
static constexpr absl::Duration Deadline = absl::Seconds(5);
/// Request rate of the most urgent kind in the flood, relative to capacity.
static constexpr double UrgentFloodFactor = 4;

/// Demand of the other kinds, relative to their entitlement: below 1, so that
/// a queue discipline that enforces the shares answers all of their requests.
static constexpr double DemandOfEntitlement = 0.8;

static LoadStream scaleToEntitlement(const Deployment &TestDeployment,
                                     LoadStream Stream,
                                     const DeploymentKind &Kind) {
  Stream.RatePerSecond *= TestDeployment.entitledShareOf(Kind) *
                          (1 - DeploymentConfiguration::UrgentReserve) *
                          DemandOfEntitlement;
  Stream.Deadline = Deadline;
  return Stream;
}

absl::Status MostUrgentFlood::measure(Trial &T) {
  const Deployment &TestDeployment = T.Options.TestDeployment;
  LoadStream Middle = scaleToEntitlement(
      TestDeployment,
      streamOf(TestDeployment, TestDeployment.Middle, "middle", RunTime, 1),
      TestDeployment.Middle);
  LoadStream Least = scaleToEntitlement(
      TestDeployment,
      streamOf(TestDeployment, TestDeployment.LeastUrgent, "least", RunTime, 1),
      TestDeployment.LeastUrgent);
  LoadStream Flood = streamOf(TestDeployment, TestDeployment.MostUrgent,
                              "flood", RunTime, UrgentFloodFactor);
  Flood.Deadline = Deadline;

  auto Alone = this->runPhase(T, "alone", {Middle, Least});
  if (!Alone.ok())
    return Alone.status();
  addAnsweredShare(T, "alone", Alone->total());
  auto Flooded = this->runPhase(T, "flood", {Middle, Least, Flood});
  if (!Flooded.ok())
    return Flooded.status();
  for (const char *Name : {"middle", "least"}) {
    double Before = static_cast<double>(Alone->ofClass(Name).succeeded());
    double During = static_cast<double>(Flooded->ofClass(Name).succeeded());
    T.add({std::string("share kept by the kind: ") + Name, "share",
           During / std::max(Before, 1.0),
           Target{Target::Bound::AtLeast, targets::MinShareKept, false}});
    T.add({std::string("p99 in the flood: ") + Name,
           "s",
           Flooded->ofClass(Name).Completion.quantile(0.99),
           {}});
  }
  return absl::OkStatus();
}

} // namespace vanillayard
