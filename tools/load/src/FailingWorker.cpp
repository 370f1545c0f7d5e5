#include "FailingWorker.h"

#include "load/Targets.h"

namespace vanillayard {

static constexpr absl::Duration RunTime = absl::Milliseconds(200);
static constexpr absl::Duration Deadline = absl::Seconds(5);
static constexpr double Demand = 0.4;
static constexpr double P99 = 0.99;

absl::Status FailingWorker::measure(Trial &T) {
  const Deployment &Size = T.Options.Size;
  LoadStream Steady =
      streamOf(Size, Size.MostUrgent, "steady", RunTime, Demand);
  Steady.Deadline = Deadline;
  auto Healthy = this->runPhase(T, "healthy", {Steady});
  if (!Healthy.ok())
    return Healthy.status();
  addAnswered(T, "healthy", Healthy->total());
  absl::Status Failing = T.Bed.failWorker(true);
  if (!Failing.ok())
    return Failing;
  auto Sick = this->runPhase(T, "failing", {Steady});
  if (!Sick.ok())
    return Sick.status();
  absl::StatusOr<int> Failed = T.Bed.tasksFailed();
  if (!Failed.ok())
    return Failed.status();

  const GroupRecord &Record = Sick->ofClass("steady");
  int MostLost = targets::MaxLostPerHost * Size.DataCentres.front().Hosts;
  T.add({"requests lost by their callers", "count",
         static_cast<double>(Record.Sent - Record.succeeded()),
         Target{Target::Bound::AtMost, static_cast<double>(MostLost), false}});
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
