#include "load/Experiment.h"

#include "load/LoadRun.h"
#include "load/Report.h"
#include "load/Targets.h"

#include <fmt/format.h>

#include <algorithm>

namespace vanillayard {

/// Minimum time to wait for answers after the last arrival of a phase; not
/// below the deadlines of short requests.
static constexpr absl::Duration MinDrainTime = absl::Seconds(8);
static constexpr int PolicyCount = 2;
/// A driver that sent a request later than this was short of processor time,
/// and its latencies include that delay of the driver.
static constexpr absl::Duration TolerableSendDelay = absl::Milliseconds(50);

static const char *policyName(PolicyChoice Policy) {
  return Policy == PolicyChoice::Baseline ? "baseline" : "chosen";
}

absl::Duration Experiment::phaseTime(const ExperimentOptions &Options) const {
  return Options.Budget * LoadShareOfBudget /
         (PolicyCount * this->phaseCount());
}

absl::Duration Experiment::drainTime(const ExperimentOptions &Options) const {
  return std::max(MinDrainTime, Options.Budget * DrainShareOfBudget /
                                    (PolicyCount * this->phaseCount()));
}

absl::StatusOr<Recorder> Experiment::runPhase(Trial &T, const std::string &Name,
                                              std::vector<LoadStream> Streams,
                                              const Script &DuringLoad) {
  T.Options.Progress(fmt::format("{} {} {}: {}", this->name(),
                                 T.Options.TestDeployment.Name,
                                 policyName(T.Policy), Name));
  Workload::Builder Builder;
  Builder.seed(T.Options.Seed).duration(this->phaseTime(T.Options));
  for (LoadStream &Stream : Streams)
    Builder.stream(std::move(Stream));
  absl::StatusOr<Workload> Load = Builder.build();
  if (!Load.ok())
    return Load.status();
  LoadRun Run(T.Bed.entryHosts(), *std::move(Load),
              fmt::format("{}-{}", this->name(), Name),
              this->drainTime(T.Options));
  absl::Status ScriptStatus = DuringLoad ? DuringLoad(Run) : absl::OkStatus();
  absl::Status RunStatus = Run.wait();
  if (!ScriptStatus.ok())
    return ScriptStatus;
  if (!RunStatus.ok())
    return RunStatus;
  nlohmann::json Json = Report::json(Run.records());
  Json["worst_send_delay_ms"] =
      absl::ToDoubleMilliseconds(Run.worstSendDelay());
  T.Phases[Name] = std::move(Json);
  if (Run.worstSendDelay() > TolerableSendDelay)
    T.Options.Progress(
        fmt::format("{}: the driver sent up to {:.0f} ms late", Name,
                    absl::ToDoubleMilliseconds(Run.worstSendDelay())));
  T.Options.Progress(Report::table(Run.records()));
  addIntegrityFigures(T, Name, Run.records());
  return Run.records();
}

void Experiment::addIntegrityFigures(Trial &T, const std::string &Phase,
                                     const Recorder &Records) {
  Target None{Target::Bound::AtMost, 0, false};
  auto Malformed = Records.total().countOf(Outcome::MalformedProblem);
  T.add({Phase + ": wrong answers", "count",
         static_cast<double>(Records.wrongAnswers()), None});
  T.add({Phase + ": malformed errors", "count", static_cast<double>(Malformed),
         None});
}

void Experiment::addAnsweredShare(Trial &T, const std::string &Phase,
                                  const GroupRecord &Record) {
  double Share = static_cast<double>(Record.succeeded()) /
                 std::max(1.0, static_cast<double>(Record.Sent));
  T.add({Phase + ": requests answered", "share", Share,
         Target{Target::Bound::AtLeast, targets::MinAnsweredUnloaded, false}});
}

LoadStream Experiment::streamOf(const Deployment &TestDeployment,
                                const DeploymentKind &Kind, std::string Name,
                                absl::Duration RunTime,
                                double ShareOfCapacity) {
  LoadStream Stream;
  Stream.Callers = {{CallerId(Name), 1}};
  Stream.Name = std::move(Name);
  Stream.Kind = Kind.Name;
  Stream.Account = TestDeployment.Accounts.front();
  Stream.RunTime = RunTime;
  Stream.RatePerSecond =
      TestDeployment.slots() / absl::ToDoubleSeconds(RunTime) * ShareOfCapacity;
  Stream.Repeatable = Kind.Repeatable;
  return Stream;
}

void Experiment::mergeFigure(std::vector<Measure> &Measures, const Figure &From,
                             PolicyChoice Policy) {
  auto Found =
      std::find_if(Measures.begin(), Measures.end(),
                   [&](const Measure &M) { return M.Name == From.Name; });
  if (Found == Measures.end())
    Found = Measures.insert(Measures.end(),
                            {From.Name, From.Unit, 0, 0, From.Required});
  (Policy == PolicyChoice::Baseline ? Found->Baseline : Found->Chosen) =
      From.Value;
}

absl::StatusOr<ExperimentResult>
Experiment::run(TestBedFactory &Factory, const ExperimentOptions &Options) {
  ExperimentResult Result;
  Result.Name = this->name();
  Result.Deployment = Options.TestDeployment.Name;
  Result.Seed = Options.Seed;
  for (PolicyChoice Policy : {PolicyChoice::Baseline, PolicyChoice::Chosen}) {
    auto Bed = Factory.start(Options.TestDeployment, Policy);
    if (!Bed.ok())
      return Bed.status();
    Trial T{**Bed, Options, Policy, {}, {}};
    absl::Status Status = this->measure(T);
    if (!Status.ok())
      return Status;
    Result.Details[policyName(Policy)] = T.Phases;
    for (const Figure &F : T.Figures)
      mergeFigure(Result.Measures, F, Policy);
  }
  return Result;
}

} // namespace vanillayard
