#ifndef VANILLAYARD_LOAD_EXPERIMENT_H
#define VANILLAYARD_LOAD_EXPERIMENT_H

#include "load/Deployment.h"
#include "load/ExperimentResult.h"
#include "load/Measure.h"
#include "load/Recorder.h"
#include "load/TestBed.h"
#include "load/Workload.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace vanillayard {

class LoadRun;

struct ExperimentOptions {
  Deployment TestDeployment;
  /// Time budget of one experiment for both policies and all phases.
  absl::Duration Budget = absl::Seconds(60);
  uint64_t Seed = 1;
  /// Receives progress messages: the start and the report of each phase.
  std::function<void(const std::string &)> Progress;
};

/// Runs the same schedule of requests under the baseline and under the chosen
/// policies and compares the figures.
class Experiment {
public:
  virtual ~Experiment() = default;

  /// Name on the command line.
  virtual std::string name() const = 0;

  /// Errors: those of starting and driving the test bed. A missed target is
  /// not an error.
  absl::StatusOr<ExperimentResult> run(TestBedFactory &Factory,
                                       const ExperimentOptions &Options);

  /// All experiments, in the order of the targets in docs/design.md, section
  /// 1.5.
  static std::vector<std::unique_ptr<Experiment>> all();

protected:
  /// Share of the budget for all load phases of an experiment; the rest is for
  /// starting, draining and stopping two deployments.
  static constexpr double LoadShareOfBudget = 0.6;
  /// Share of the budget for waiting for the last answers of all phases.
  static constexpr double DrainShareOfBudget = 0.3;

  struct Figure {
    std::string Name;
    std::string Unit;
    double Value = 0;
    std::optional<Target> Required;
  };

  /// State of one run under one policy; measure() adds figures and phases.
  struct Trial {
    TestBed &Bed;
    const ExperimentOptions &Options;
    PolicyChoice Policy;
    std::vector<Figure> Figures;
    /// Full records by phase, for the JSON report.
    std::map<std::string, nlohmann::json> Phases;

    void add(Figure Value) { this->Figures.push_back(std::move(Value)); }
  };

  /// Number of load phases of one policy.
  virtual int phaseCount() const { return 1; }
  /// Runs the load phases under the policy of \p T and adds the figures.
  /// Errors: those of the test bed and of runPhase().
  virtual absl::Status measure(Trial &T) = 0;

  absl::Duration phaseTime(const ExperimentOptions &Options) const;
  absl::Duration drainTime(const ExperimentOptions &Options) const;

  using Script = std::function<absl::Status(LoadRun &)>;

  /// Runs a workload as phase \p Name. Calls \p DuringLoad in the caller's
  /// thread while the workload runs.
  absl::StatusOr<Recorder> runPhase(Trial &T, const std::string &Name,
                                    std::vector<LoadStream> Streams,
                                    const Script &DuringLoad = nullptr);

  /// A stream of one caller with its rate set to \p ShareOfCapacity of the
  /// rate at which all slots would be busy.
  static LoadStream streamOf(const Deployment &TestDeployment,
                             const DeploymentKind &Kind, std::string Name,
                             absl::Duration RunTime, double ShareOfCapacity);

  /// Adds the figures that every experiment must report: the numbers of wrong
  /// answers and of malformed errors, both with target 0.
  static void addIntegrityFigures(Trial &T, const std::string &Phase,
                                  const Recorder &Records);

  /// Adds the share of requests answered in a phase without overload, with
  /// target MinAnsweredUnloaded: a ratio to a phase in which most requests
  /// failed is meaningless.
  static void addAnsweredShare(Trial &T, const std::string &Phase,
                               const GroupRecord &Record);

private:
  static void mergeFigure(std::vector<Measure> &Measures, const Figure &From,
                          PolicyChoice Policy);
};

} // namespace vanillayard

#endif
