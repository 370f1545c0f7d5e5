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

/// Registry of all metrics of a process. The references it returns stay valid
/// as long as the registry; keep them where samples are recorded, since the
/// look-up allocates.
///
/// The number of series is bounded. A new series beyond the bound is recorded
/// in the series of its name that has the one label overflow="true".
class Metrics {
public:
  using Labels = std::vector<std::pair<std::string, std::string>>;

  static constexpr size_t DefaultMaxSeries = 2000;

  explicit Metrics(size_t MaxSeries = DefaultMaxSeries);
  ~Metrics();

  /// Returns the metric with this name and these labels, made on first use.
  /// A name that is in use for another type of metric, or is not a valid
  /// name, gives a metric that is not exposed.
  Counter &counter(const std::string &Name, const std::string &Help,
                   Labels By = {});
  Gauge &gauge(const std::string &Name, const std::string &Help,
               Labels By = {});
  LatencyHistogram &histogram(const std::string &Name, const std::string &Help,
                              Labels By = {});

  size_t seriesCount() const { return this->SeriesCount; }

  /// All metrics in the Prometheus text exposition format, version 0.0.4.
  std::string exposition() const;

private:
  template <typename Metric> struct Family;

  template <typename Metric>
  Metric &find(std::map<std::string, Family<Metric>> &Families,
               const std::string &Name, const std::string &Help, Labels By,
               Metric &Unexposed);
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
