#ifndef VANILLAYARD_PREDICTION_WORKERSPEEDS_H
#define VANILLAYARD_PREDICTION_WORKERSPEEDS_H

#include "base/Ids.h"
#include "prediction/WorkEstimate.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace vanillayard {

/// Learns the speeds of workers from the rates at which tasks progress. Uses no
/// clock and no network: the caller passes in times.
///
/// \code
///   Speeds.observe({StepId(1), Worker, std::log(Rate), Noise}, Now);
///   Speeds.refresh(Now);
///   if (Speeds.isSlow(Worker)) ...
/// \endcode
///
/// A rate depends on the worker's speed and on the task's work, and neither is
/// known. Tasks of one step have about the same work, so only workers that run
/// the same step are compared: a worker's deficit is the logarithm of its rate
/// relative to the fastest workers of the step. Steps whose workers all
/// progress alike say nothing, as they may be all fast or all slow. Speeds are
/// relative to the fastest workers that were seen beside it, and a worker that
/// was never compared counts as one of them.
///
/// Observations count for Window. After that they count less and less, so that
/// a worker that turns slow, or is well again, is noticed.
class WorkerSpeeds {
public:
  /// A step of a job, while the leader knows the job.
  enum class StepId : uint64_t {};

  /// Variance of the logarithm of the work among the tasks of one step, with
  /// room for tails.
  static constexpr double TaskVariance = 0.12;
  /// The same among the members of a gang, which differ little.
  static constexpr double MemberVariance = 0.005;
  /// A worker is slow if its speed is below this share of the fastest ones.
  static constexpr double SlowShare = 0.75;
  /// How long an observation counts in full.
  static constexpr absl::Duration Window = absl::Seconds(10);
  /// Maximum number of workers, and of pairs of a step and a worker. Further
  /// observations are dropped.
  static constexpr size_t MaxWorkers = 8192;
  static constexpr size_t MaxPairs = 32768;

  struct Observation {
    StepId Step;
    WorkerId Worker;
    /// Logarithm of the completed share of the task's work per second.
    double LogRate = 0;
    /// Variance of the observation: TaskVariance or MemberVariance.
    double Variance = TaskVariance;
    /// It is the first one of its run.
    bool IsNewRun = true;
  };

  /// Adds an observation, which refresh() takes into account. Does nothing if
  /// the rate is not finite.
  void observe(const Observation &Seen, absl::Time Now);
  /// Compares the workers of each step. Takes time linear, but for the sorting
  /// of each step's workers, in the number of pairs of a step and a worker that
  /// were observed within Window.
  void refresh(absl::Time Now);

  /// Logarithm of the worker's speed relative to the fastest ones; 0 if it has
  /// not been compared.
  double logSpeed(const WorkerId &Worker) const;
  /// The worker is slow, and that is known with some certainty.
  bool isSlow(const WorkerId &Worker) const;
  /// The work of a step; nullopt if it has not been observed within Window.
  std::optional<WorkEstimate> work(StepId Step) const;
  void forget(const WorkerId &Worker);

  /// JSON record of the slow workers.
  std::string encode() const;
  /// Adds the speeds of a record. Ignores rows that cannot be read.
  void decode(std::string_view Record, absl::Time Now);

private:
  /// A normal distribution as precision and precision times mean, which are
  /// added where two are multiplied.
  struct Belief {
    double Precision = 0;
    double Weighted = 0;

    static Belief of(double Mean, double Variance) {
      return {1 / Variance, Mean / Variance};
    }
    double mean() const {
      return this->Precision > 0 ? this->Weighted / this->Precision : 0;
    }
    double variance() const { return 1 / this->Precision; }
    Belief with(const Belief &Other) const {
      return {this->Precision + Other.Precision,
              this->Weighted + Other.Weighted};
    }
  };
  struct Speed {
    /// From comparisons before Window.
    Belief Earlier;
    Belief Posterior;
    absl::Time AgedAt;
  };
  /// Observations of one step on one worker.
  struct Pair {
    double LogRate = 0;
    double Variance = 0;
    int Runs = 0;
    absl::Time ObservedAt;
    /// What the last comparison has shown; no precision if the step says
    /// nothing.
    Belief Shown;
  };
  struct Step {
    absl::flat_hash_map<WorkerId, Pair> Workers;
    std::optional<WorkEstimate> Work;
  };

  void age(absl::Time Now);
  void dropOldPairs(absl::Time Now);
  void compare(Step &Entry);

  absl::flat_hash_map<WorkerId, Speed> Workers;
  absl::flat_hash_map<StepId, Step> Steps;
  size_t PairCount = 0;
};

} // namespace vanillayard

#endif
