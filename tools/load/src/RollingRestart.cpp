#include "RollingRestart.h"

#include "load/LoadRun.h"
#include "load/Targets.h"

namespace vanillayard {

static constexpr absl::Duration RunTime = absl::Milliseconds(300);
static constexpr absl::Duration Deadline = absl::Seconds(8);
/// Request rate of the load, relative to capacity.
static constexpr double DemandOfCapacity = 0.25;
static constexpr double P99 = 0.99;

absl::Status RollingRestart::measure(Trial &T) {
  const Deployment &TestDeployment = T.Options.TestDeployment;
  std::vector<LoadStream> Streams = {
      streamOf(TestDeployment, TestDeployment.MostUrgent, "urgent", RunTime,
               DemandOfCapacity / 2),
      streamOf(TestDeployment, TestDeployment.Middle, "middle", RunTime,
               DemandOfCapacity / 4),
      streamOf(TestDeployment, TestDeployment.LeastUrgent, "least", RunTime,
               DemandOfCapacity / 4)};
  for (LoadStream &Stream : Streams)
    Stream.Deadline = Deadline;
  auto Steady = this->runPhase(T, "steady", Streams);
  if (!Steady.ok())
    return Steady.status();
  addAnsweredShare(T, "steady", Steady->total());
  int Restarted = 0;
  absl::Time Until = absl::Now() + this->phaseTime(T.Options);
  auto Restart = [&](LoadRun &Run) {
    for (int I = 0; I < TestDeployment.hosts() && absl::Now() < Until; ++I) {
      absl::Status Status = T.Bed.restartHost(static_cast<size_t>(I));
      if (!Status.ok())
        return Status;
      Run.setHosts(T.Bed.entryHosts());
      ++Restarted;
    }
    return absl::OkStatus();
  };
  auto Rolling = this->runPhase(T, "restarts", Streams, Restart);
  if (!Rolling.ok())
    return Rolling.status();

  const GroupRecord &Record = Rolling->total();
  auto Interrupted = Record.countOf(Outcome::ConnectionLost) +
                     Record.countOf("outcome_unknown") +
                     Record.countOf(Outcome::Unfinished);
  T.add({"hosts restarted", "count", static_cast<double>(Restarted), {}});
  T.add(
      {"requests interrupted", "count", static_cast<double>(Interrupted),
       Target{Target::Bound::AtMost, targets::MaxInterruptedByRestart, false}});
  T.add({"requests refused as not run",
         "count",
         static_cast<double>(Record.Sent - Record.succeeded() - Interrupted),
         {}});
  T.add({"p99 of the urgent kind, restarts / steady",
         "ratio",
         Rolling->ofClass("urgent").Completion.quantile(P99) /
             Steady->ofClass("urgent").Completion.quantile(P99),
         {}});
  return absl::OkStatus();
}

} // namespace vanillayard
