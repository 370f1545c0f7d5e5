#ifndef VANILLAYARD_PREDICTION_RUNTIMEMODEL_H
#define VANILLAYARD_PREDICTION_RUNTIMEMODEL_H

#include "prediction/TaskFeatures.h"
#include "prediction/WorkEstimate.h"

#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace vanillayard {

/// Learns from runs how much work the tasks of a queue take, and how far the
/// submitters' estimates can be trusted. Uses no clock and no network.
///
/// \code
///   RunTimeModel Model;
///   WorkEstimate Before = Model.predict(Features); // the submitter's estimate
///   Model.learn(Features, std::log(12.5));         // it took 12.5 s of work
/// \endcode
///
/// - For each queue and step it keeps a linear regression of the logarithm of
///   the work on that of the estimate. Estimates that say nothing get a slope
///   near 0, so the queue's own mean is used instead.
/// - Each account of a queue has an offset, shrunk towards 0 while it has few
///   samples.
/// - Samples are forgotten exponentially, so the model follows work that
///   shifts; a sample far from the prediction counts as one at a limit, so a
///   tail does not move the mean.
/// - Estimates far outside those that the queue usually sees are not used, nor
///   learned from as estimates, so absurd ones do not harm other accounts.
/// - Memory is bounded by MaxSeries; tasks beyond it get the estimates.
class RunTimeModel {
public:
  /// Maximum number of queue steps, and of accounts in queue steps.
  static constexpr size_t MaxSeries = 8192;
  /// Longest record that decode() reads, in bytes.
  static constexpr size_t MaxRecordBytes = 512 << 10;

  WorkEstimate predict(const TaskFeatures &Task) const;

  /// Adds a sample. One sample for each step of a job is enough, as its tasks
  /// are alike. Does nothing if \p LogWork is not finite.
  /// \param LogWork logarithm of the work in seconds.
  void learn(const TaskFeatures &Task, double LogWork);

  /// Mean size of the errors of a queue's recent predictions, as logarithms of
  /// factors: 0.69 is a factor of two.
  struct QueueError {
    std::string Queue;
    size_t Samples = 0;
    double OfEstimates = 0;
    double OfModel = 0;
  };
  std::vector<QueueError> errors() const;

  /// JSON record from which a successor continues.
  std::string encode() const;
  /// Replaces the model by a record. Errors: InvalidRequest if the record is
  /// too long, malformed, of another version or out of range; the model is then
  /// unchanged.
  absl::Status decode(std::string_view Record);

private:
  /// Weighted sums of one queue step. X is the logarithm of the estimate, Y
  /// that of the work.
  struct Regression {
    double Weight = 0;
    double MeanX = 0;
    double MeanY = 0;
    double VarianceX = 0;
    double Covariance = 0;
    /// Mean squared residual of predictions.
    double Residual = 0;
    size_t Samples = 0;
    double EstimateError = 0;
    double ModelError = 0;

    double slope() const;
    double trust() const;
    bool isUsualEstimate(double X) const;
    /// Prediction for an estimate; \p X is ignored unless \p HasX.
    double at(double X, bool HasX) const;
    void add(double X, bool HasX, double Y);
  };
  struct AccountOffset {
    double Weight = 0;
    double Mean = 0;
  };
  using SeriesKey = std::pair<std::string, int>;
  using AccountKey = std::pair<SeriesKey, std::string>;

  static SeriesKey seriesOf(const TaskFeatures &Task) {
    return {Task.Queue, Task.Step};
  }
  double offsetOf(const TaskFeatures &Task) const;

  absl::flat_hash_map<SeriesKey, Regression> Series;
  absl::flat_hash_map<AccountKey, AccountOffset> Accounts;
};

} // namespace vanillayard

#endif
