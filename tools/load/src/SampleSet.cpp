#include "load/SampleSet.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace vanillayard {

void SampleSet::add(double Sample) {
  this->Samples.push_back(Sample);
  this->IsSorted = false;
}

double SampleSet::sum() const {
  return std::accumulate(this->Samples.begin(), this->Samples.end(), 0.0);
}

double SampleSet::mean() const {
  return this->Samples.empty()
             ? 0
             : this->sum() / static_cast<double>(this->Samples.size());
}

double SampleSet::quantile(double Q) const {
  if (this->Samples.empty())
    return 0;
  if (!this->IsSorted) {
    std::sort(this->Samples.begin(), this->Samples.end());
    this->IsSorted = true;
  }
  auto Count = static_cast<double>(this->Samples.size());
  auto Rank = static_cast<size_t>(std::ceil(Q * Count));
  return this->Samples[std::clamp<size_t>(Rank, 1, this->Samples.size()) - 1];
}

double jainIndex(const std::vector<double> &Shares) {
  double Sum = 0;
  double Squares = 0;
  for (double Share : Shares) {
    Sum += Share;
    Squares += Share * Share;
  }
  if (Squares <= 0)
    return 1;
  return Sum * Sum / (static_cast<double>(Shares.size()) * Squares);
}

} // namespace vanillayard
