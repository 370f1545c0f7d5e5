#include "observe/LatencyHistogram.h"

#include <algorithm>

namespace vanillayard {

LatencyHistogram::LatencyHistogram()
    : Samples(std::make_tuple(Axis(Bins, MinSeconds, MaxSeconds))) {}

void LatencyHistogram::record(absl::Duration Sample) {
  double Seconds = std::max(absl::ToDoubleSeconds(Sample), 0.0);
  this->Samples(Seconds);
  this->SumSeconds += Seconds;
  ++this->Count;
}

double LatencyHistogram::upperBound(int Index) const {
  return this->Samples.axis().bin(Index).upper();
}

uint64_t LatencyHistogram::countAt(int Index) const {
  return this->Samples.at(Index);
}

absl::Duration LatencyHistogram::quantile(double Q) const {
  if (this->Count == 0)
    return absl::ZeroDuration();
  double TargetRank =
      std::clamp(Q, 0.0, 1.0) * static_cast<double>(this->Count);
  double Below = 0;
  for (int I = -1; I < Bins; ++I) {
    auto SamplesInBin = static_cast<double>(this->countAt(I));
    if (SamplesInBin > 0 && Below + SamplesInBin >= TargetRank) {
      double Low = I < 0 ? 0 : this->Samples.axis().bin(I).lower();
      double High = I < 0 ? MinSeconds : this->upperBound(I);
      return absl::Seconds(Low +
                           (High - Low) * (TargetRank - Below) / SamplesInBin);
    }
    Below += SamplesInBin;
  }
  return absl::Seconds(MaxSeconds);
}

} // namespace vanillayard
