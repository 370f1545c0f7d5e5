#include "MostUrgentFlood.h"

#include "load/DeploymentConfiguration.h"
#include "load/Targets.h"

#include <algorithm>

namespace vanillayard {

static constexpr absl::Duration RunTime = absl::Seconds(1);
static constexpr absl::Duration Deadline = absl::Seconds(5);
/// Flood of the most urgent kind, relative to capacity.
static constexpr double UrgentFloodFactor = 4;

/// The other kinds ask for less than they are entitled to, so a queue
/// discipline that keeps their shares answers all of it.
static constexpr double DemandOfEntitlement = 0.8;

static LoadStream demandOf(const Deployment &Size, LoadStream Stream,
                           const DeploymentKind &Kind) {
  Stream.RatePerSecond *= Size.shareOf(Kind) *
                          (1 - DeploymentConfiguration::UrgentReserve) *
                          DemandOfEntitlement;
  Stream.Deadline = Deadline;
  return Stream;
}

absl::Status MostUrgentFlood::measure(Trial &T) {
  const Deployment &Size = T.Options.Size;
  LoadStream Middle = demandOf(
      Size, streamOf(Size, Size.Middle, "middle", RunTime, 1), Size.Middle);
  LoadStream Least =
      demandOf(Size, streamOf(Size, Size.LeastUrgent, "least", RunTime, 1),
               Size.LeastUrgent);
  LoadStream Flood =
      streamOf(Size, Size.MostUrgent, "flood", RunTime, UrgentFloodFactor);
  Flood.Deadline = Deadline;

  auto Alone = this->runPhase(T, "alone", {Middle, Least});
  if (!Alone.ok())
    return Alone.status();
  addAnswered(T, "alone", Alone->total());
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
