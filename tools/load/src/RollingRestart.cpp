#include "RollingRestart.h"

#include "load/LoadRun.h"
#include "load/Targets.h"

namespace vanillayard {

static constexpr absl::Duration RunTime = absl::Milliseconds(300);
static constexpr absl::Duration Deadline = absl::Seconds(8);
static constexpr double Demand = 0.25;
static constexpr double P99 = 0.99;

absl::Status RollingRestart::measure(Trial &T) {
  const Deployment &Size = T.Options.Size;
  std::vector<LoadStream> Streams = {
      streamOf(Size, Size.MostUrgent, "urgent", RunTime, Demand / 2),
      streamOf(Size, Size.Middle, "middle", RunTime, Demand / 4),
      streamOf(Size, Size.LeastUrgent, "least", RunTime, Demand / 4)};
  for (LoadStream &Stream : Streams)
    Stream.Deadline = Deadline;
  auto Steady = this->runPhase(T, "steady", Streams);
  if (!Steady.ok())
    return Steady.status();
  addAnswered(T, "steady", Steady->total());
  int Restarted = 0;
  absl::Time Until = absl::Now() + this->phaseTime(T.Options);
  auto Restart = [&](LoadRun &Run) {
    for (int I = 0; I < Size.hosts() && absl::Now() < Until; ++I) {
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
  auto Broken = Record.countOf(Outcome::ConnectionLost) +
                Record.countOf("outcome_unknown") +
                Record.countOf(Outcome::Unfinished);
  T.add({"hosts restarted", "count", static_cast<double>(Restarted), {}});
  T.add({"requests interrupted", "count", static_cast<double>(Broken),
         Target{Target::Bound::AtMost, targets::MaxBrokenByRestart, false}});
  T.add({"requests refused as not run",
         "count",
         static_cast<double>(Record.Sent - Record.succeeded() - Broken),
         {}});
  T.add({"p99 of the urgent kind, restarts / steady",
         "ratio",
         Rolling->ofClass("urgent").Completion.quantile(P99) /
             Steady->ofClass("urgent").Completion.quantile(P99),
         {}});
  return absl::OkStatus();
}

} // namespace vanillayard
