#include "FailingWorker.h"

#include "load/Targets.h"

namespace vanillayard {

static constexpr absl::Duration RunTime = absl::Milliseconds(200);
static constexpr absl::Duration Deadline = absl::Seconds(5);
/// Request rate of the load, relative to capacity.
static constexpr double DemandOfCapacity = 0.4;
static constexpr double P99 = 0.99;

absl::Status FailingWorker::measure(Trial &T) {
  const Deployment &TestDeployment = T.Options.TestDeployment;
  LoadStream Steady = streamOf(TestDeployment, TestDeployment.MostUrgent,
                               "steady", RunTime, DemandOfCapacity);
  Steady.Deadline = Deadline;
  auto Healthy = this->runPhase(T, "healthy", {Steady});
  if (!Healthy.ok())
    return Healthy.status();
  addAnsweredShare(T, "healthy", Healthy->total());
  absl::Status FaultStatus = T.Bed.failWorker(true);
  if (!FaultStatus.ok())
    return FaultStatus;
  auto Failing = this->runPhase(T, "failing", {Steady});
  if (!Failing.ok())
    return Failing.status();
  absl::StatusOr<int> Failed = T.Bed.tasksFailed();
  if (!Failed.ok())
    return Failed.status();

  const GroupRecord &Record = Failing->ofClass("steady");
  int MaxLost =
      targets::MaxLostPerHost * TestDeployment.DataCentres.front().Hosts;
  T.add({"requests lost by their callers", "count",
         static_cast<double>(Record.Sent - Record.succeeded()),
         Target{Target::Bound::AtMost, static_cast<double>(MaxLost), false}});
  T.add({"tasks that the worker failed",
         "count",
         static_cast<double>(*Failed),
         {}});
  T.add({"p99 with a failing worker / without",
         "ratio",
         Record.Completion.quantile(P99) /
             Healthy->ofClass("steady").Completion.quantile(P99),
         {}});
  return absl::OkStatus();
}

} // namespace vanillayard
