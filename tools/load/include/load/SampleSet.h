#ifndef VANILLAYARD_LOAD_SAMPLESET_H
#define VANILLAYARD_LOAD_SAMPLESET_H

#include <cstddef>
#include <vector>

namespace vanillayard {

/// Stores all samples and computes exact quantiles by the nearest-rank method.
class SampleSet {
public:
  void add(double Sample);
  size_t count() const { return this->Samples.size(); }
  double sum() const;
  double mean() const;
  /// Smallest sample that a share \p Q (0 to 1) of samples does not exceed;
  /// 0 without samples.
  double quantile(double Q) const;
  double max() const { return this->quantile(1); }

private:
  mutable std::vector<double> Samples;
  mutable bool IsSorted = true;
};

/// Jain's fairness index: 1 if all shares are equal, 1/n if one has all.
/// 1 for an empty list and for shares that are all zero.
double jainIndex(const std::vector<double> &Shares);

} // namespace vanillayard

#endif
