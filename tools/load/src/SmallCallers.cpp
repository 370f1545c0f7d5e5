#include "SmallCallers.h"

#include "load/Targets.h"

#include <fmt/format.h>

namespace vanillayard {

static constexpr absl::Duration RunTime = absl::Milliseconds(500);
static constexpr absl::Duration Deadline = absl::Seconds(5);
static constexpr int SmallCallerCount = 10;
/// Request rate of the large caller, relative to capacity: above 1, so that the
/// callers compete for slots.
static constexpr double LargeDemand = 1.2;
static constexpr double P99 = 0.99;

absl::Status SmallCallers::measure(Trial &T) {
  const Deployment &TestDeployment = T.Options.TestDeployment;
  LoadStream Small =
      streamOf(TestDeployment, TestDeployment.LeastUrgent, "small", RunTime,
               LargeDemand / targets::LargeCallerFactor * SmallCallerCount);
  Small.Deadline = Deadline;
  Small.Callers.clear();
  for (int I = 0; I < SmallCallerCount; ++I)
    Small.Callers.push_back({CallerId(fmt::format("small-{}", I)), 1});
  LoadStream Large = streamOf(TestDeployment, TestDeployment.LeastUrgent,
                              "large", RunTime, LargeDemand);
  Large.Deadline = Deadline;

  auto Alone = this->runPhase(T, "alone", {Small});
  if (!Alone.ok())
    return Alone.status();
  addAnsweredShare(T, "alone", Alone->ofClass("small"));
  auto Beside = this->runPhase(T, "beside", {Small, Large});
  if (!Beside.ok())
    return Beside.status();
  double AloneP99 = Alone->ofClass("small").Completion.quantile(P99);
  double BesideP99 = Beside->ofClass("small").Completion.quantile(P99);
  T.add({"p99 of small callers alone", "s", AloneP99, {}});
  T.add({"p99 of small callers beside a large one", "s", BesideP99, {}});
  T.add(
      {"p99 beside / alone", "ratio", BesideP99 / AloneP99,
       Target{Target::Bound::AtMost, targets::MaxSmallCallerP99Ratio, false}});
  T.add({"Jain index of small callers", "index",
         Beside->jainIndexOfClass("small"),
         Target{Target::Bound::AtLeast, targets::MinJainIndex, false}});
  return absl::OkStatus();
}

} // namespace vanillayard
