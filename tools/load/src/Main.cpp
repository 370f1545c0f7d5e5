#include "ClusterDataCentreTestBed.h"
#include "ClusterTestBed.h"
#include "base/AbslView.h"
#include "load/Experiment.h"
#include "load/SlopeSuite.h"

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdio>
#include <fstream>

ABSL_FLAG(std::string, experiment, "all",
          "name of an experiment, or all; see --list");
ABSL_FLAG(bool, list, false, "print the names of the experiments");
ABSL_FLAG(bool, slopes, false,
          "measure how control costs grow with size instead");
ABSL_FLAG(std::string, part, "all",
          "with --slopes: costs, configuration, rebuild, reclaim or all");
ABSL_FLAG(std::string, deployment, "kalahari", "kalahari, swanbag or small");
ABSL_FLAG(int, seconds, 60,
          "bound on the time of one experiment, 4 to 600; with --slopes, six "
          "times the time of one observation");
ABSL_FLAG(uint64_t, seed, 1, "seed of the schedules");
ABSL_FLAG(std::string, json, "", "file for the results");

using namespace vanillayard;

static constexpr int ExitMet = 0;
static constexpr int ExitError = 1;
static constexpr int ExitMissed = 3;
static constexpr int MinSeconds = 4;
static constexpr int MaxSeconds = 600;
static constexpr int ObservationsPerBudget = 6;

static int reportError(const absl::Status &Status) {
  fmt::print(stderr, "vanillayard-load: {}\n", stdView(Status.message()));
  return ExitError;
}

static void printProgress(const std::string &Line) {
  fmt::print(stderr, "{}\n", Line);
}

static bool writeJson(const nlohmann::json &Document) {
  std::string Path = absl::GetFlag(FLAGS_json);
  if (Path.empty())
    return true;
  std::ofstream File(Path);
  File << Document.dump(2) << '\n';
  return File.good();
}

static int runSlopes() {
  ClusterDataCentreTestBedFactory Factory;
  SlopeSuite::Options RunOptions;
  RunOptions.ObservationTime =
      absl::Seconds(absl::GetFlag(FLAGS_seconds)) / ObservationsPerBudget;
  RunOptions.Progress = printProgress;
  SlopeSuite Suite(Factory, RunOptions);
  absl::Status Ran = Suite.run(absl::GetFlag(FLAGS_part));
  fmt::print("{}", SlopeResult::table(Suite.results()));
  if (!writeJson(SlopeResult::json(Suite.results())))
    return reportError(absl::UnavailableError(
        "the results could not be written to the file of --json"));
  return Ran.ok() ? ExitMet : reportError(Ran);
}

static int runExperiments(const ExperimentOptions &Options) {
  ClusterTestBedFactory Factory;
  std::string Wanted = absl::GetFlag(FLAGS_experiment);
  nlohmann::json Results = nlohmann::json::array();
  absl::Status FirstError = absl::NotFoundError(
      "no such experiment (--list prints the names): " + Wanted);
  bool HasRun = false;
  bool AllMet = true;
  for (const auto &Each : Experiment::all()) {
    if (Wanted != "all" && Wanted != Each->name())
      continue;
    absl::StatusOr<ExperimentResult> Result = Each->run(Factory, Options);
    if (!std::exchange(HasRun, true))
      FirstError = absl::OkStatus();
    FirstError.Update(Result.status());
    if (!Result.ok()) {
      printProgress(fmt::format("{} failed: {}", Each->name(),
                                stdView(Result.status().message())));
      continue;
    }
    AllMet = AllMet && Result->isMet();
    fmt::print("{}\n", Result->table());
    std::fflush(stdout);
    Results.push_back(Result->json());
  }
  if (!writeJson(Results))
    return reportError(absl::UnavailableError(
        "the results could not be written to the file of --json"));
  if (!FirstError.ok())
    return reportError(FirstError);
  return AllMet ? ExitMet : ExitMissed;
}

int main(int ArgCount, char **Args) {
  std::signal(SIGPIPE, SIG_IGN);
  absl::SetProgramUsageMessage(
      "vanillayard-load --experiment=NAME|all --deployment=kalahari|swanbag|"
      "small --seconds=N --seed=N --json=FILE, or --slopes: runs hosts on "
      "loopback and measures them. Exits with 0 if all targets are met, 3 if "
      "some are missed, 1 on errors.");
  absl::ParseCommandLine(ArgCount, Args);
  if (absl::GetFlag(FLAGS_list)) {
    for (const auto &Each : Experiment::all())
      fmt::print("{}\n", Each->name());
    return ExitMet;
  }
  int Seconds = absl::GetFlag(FLAGS_seconds);
  if (Seconds < MinSeconds || Seconds > MaxSeconds)
    return reportError(absl::InvalidArgumentError(fmt::format(
        "--seconds is {}, must be {} to {}", Seconds, MinSeconds, MaxSeconds)));
  if (absl::GetFlag(FLAGS_slopes))
    return runSlopes();
  ExperimentOptions Options;
  absl::StatusOr<Deployment> TestDeployment =
      Deployment::named(absl::GetFlag(FLAGS_deployment));
  if (!TestDeployment.ok())
    return reportError(TestDeployment.status());
  Options.TestDeployment = *std::move(TestDeployment);
  Options.Budget = absl::Seconds(Seconds);
  Options.Seed = absl::GetFlag(FLAGS_seed);
  Options.Progress = printProgress;
  return runExperiments(Options);
}
