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
  Deployment Size;
  /// Bound on the time of one experiment, both policies and all phases.
  absl::Duration Budget = absl::Seconds(60);
  uint64_t Seed = 1;
  /// Receives one line at each phase.
  std::function<void(const std::string &)> Progress;
};

/// Runs the same schedule against the baseline and the chosen policies and
/// compares the figures.
class Experiment {
public:
  virtual ~Experiment() = default;

  /// Name on the command line.
  virtual std::string name() const = 0;

  /// Errors: those of starting and driving the test bed. A missed target is
  /// no error.
  absl::StatusOr<ExperimentResult> run(TestBedFactory &Factory,
                                       const ExperimentOptions &Options);

  /// All experiments in the order of the design page's table of targets.
  static std::vector<std::unique_ptr<Experiment>> all();

protected:
  /// Share of the budget that one of the load phases of an experiment takes;
  /// the rest is for starting, draining and stopping two deployments.
  static constexpr double LoadShareOfBudget = 0.6;
  /// Share that waiting for the last answers may take.
  static constexpr double DrainShareOfBudget = 0.3;

  struct Figure {
    std::string Name;
    std::string Unit;
    double Value = 0;
    std::optional<Target> Required;
  };

  /// One run under one policy, for measure().
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
  virtual int phases() const { return 1; }
  virtual absl::Status measure(Trial &T) = 0;

  absl::Duration phaseTime(const ExperimentOptions &Options) const;
  absl::Duration drainTime(const ExperimentOptions &Options) const;

  using Script = std::function<absl::Status(LoadRun &)>;

  /// Runs a workload as phase \p Name. \p Meanwhile runs during the load, in
  /// the caller's thread.
  absl::StatusOr<Recorder> runPhase(Trial &T, const std::string &Name,
                                    std::vector<LoadStream> Streams,
                                    const Script &Meanwhile = nullptr);

  /// A stream of one caller with its rate set to \p ShareOfCapacity of the
  /// rate at which all slots would be busy.
  static LoadStream streamOf(const Deployment &Size, const DeploymentKind &Kind,
                             std::string Name, absl::Duration RunTime,
                             double ShareOfCapacity);

  /// Adds the figures that every experiment must report: wrong answers and
  /// malformed errors, both required to be none.
  static void addIntegrity(Trial &T, const std::string &Phase,
                           const Recorder &Records);

  /// Requires that a phase without overload answers nearly everything, as a
  /// ratio to a phase in which everything failed says nothing.
  static void addAnswered(Trial &T, const std::string &Phase,
                          const GroupRecord &Record);

private:
  static void merge(std::vector<Measure> &Measures, const Figure &From,
                    PolicyChoice Policy);
};

} // namespace vanillayard

#endif
