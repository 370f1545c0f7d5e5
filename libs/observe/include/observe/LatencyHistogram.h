#ifndef VANILLAYARD_OBSERVE_LATENCYHISTOGRAM_H
#define VANILLAYARD_OBSERVE_LATENCYHISTOGRAM_H

#include "absl/time/time.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <tuple>

namespace vanillayard {

/// Histogram of durations with log-spaced bins from 50 us to 500 s.
/// Recording neither allocates nor locks.
class LatencyHistogram {
public:
  static constexpr double MinSeconds = 50e-6;
  static constexpr double MaxSeconds = 500;
  /// Seven decades with 8 bins each: adjacent bounds differ by a factor of
  /// 1.33, which bounds the relative error of a quantile.
  static constexpr int Bins = 56;

  LatencyHistogram();

  /// Adds one sample. A negative duration counts as zero.
  void record(absl::Duration Sample);

  uint64_t count() const { return this->Count; }
  double sumSeconds() const { return this->SumSeconds; }

  /// Returns the quantile \p Q (0 to 1) of the samples, interpolated within
  /// its bin: zero if there are no samples, at most MaxSeconds.
  absl::Duration quantile(double Q) const;

  /// Upper bound of bin \p Index (0 to Bins - 1), in seconds.
  double upperBound(int Index) const;
  /// Number of samples in bin \p Index. Index -1 counts the samples below the
  /// first bin, and index Bins those above the last.
  uint64_t countAt(int Index) const;

private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  // One counter for each bin, and one each for underflow and overflow.
  using Cells = boost::histogram::storage_adaptor<
      std::array<uint64_t, static_cast<size_t>(Bins) + 2>>;

  boost::histogram::histogram<std::tuple<Axis>, Cells> Samples;
  uint64_t Count = 0;
  double SumSeconds = 0;
};

} // namespace vanillayard

#endif
