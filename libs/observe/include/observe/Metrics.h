#ifndef VANILLAYARD_OBSERVE_METRICS_H
#define VANILLAYARD_OBSERVE_METRICS_H

#include "observe/Counter.h"
#include "observe/Gauge.h"
#include "observe/LatencyHistogram.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace vanillayard {

/// Registry of all metrics of a process. The references that it returns stay
/// valid as long as the registry. Callers keep them, since each look-up
/// allocates.
///
/// The registry holds at most MaxSeries series, and for each name one further
/// series with the single label overflow="true". Beyond the bound, a look-up
/// of a new series returns the overflow series of its name.
class Metrics {
public:
  using Labels = std::vector<std::pair<std::string, std::string>>;

  static constexpr size_t DefaultMaxSeries = 2000;

  explicit Metrics(size_t MaxSeries = DefaultMaxSeries);
  ~Metrics();

  /// Returns the metric with this name and these labels, and creates it on
  /// first use. If the name is invalid or used for another type of metric,
  /// returns a metric that exposition() leaves out.
  Counter &counter(const std::string &Name, const std::string &Help,
                   Labels SeriesLabels = {});
  Gauge &gauge(const std::string &Name, const std::string &Help,
               Labels SeriesLabels = {});
  LatencyHistogram &histogram(const std::string &Name, const std::string &Help,
                              Labels SeriesLabels = {});

  size_t seriesCount() const { return this->SeriesCount; }

  /// Formats all metrics in the Prometheus text exposition format 0.0.4.
  std::string exposition() const;

private:
  template <typename Metric> struct Family;

  template <typename Metric>
  Metric &findOrCreate(std::map<std::string, Family<Metric>> &Families,
                       const std::string &Name, const std::string &Help,
                       Labels SeriesLabels, Metric &Unexposed);
  bool isNameFree(const std::string &Name) const;

  size_t MaxSeries;
  size_t SeriesCount = 0;
  uint64_t OverflowLookups = 0;
  std::map<std::string, Family<Counter>> Counters;
  std::map<std::string, Family<Gauge>> Gauges;
  std::map<std::string, Family<LatencyHistogram>> Histograms;
  Counter UnexposedCounter;
  Gauge UnexposedGauge;
  LatencyHistogram UnexposedHistogram;
};

} // namespace vanillayard

#endif
