#include "observe/Metrics.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <iterator>
#include <string_view>

namespace vanillayard {

template <typename Metric> struct Metrics::Family {
  std::string Help;
  /// Key: the labels in the exposition format, without braces.
  std::map<std::string, std::unique_ptr<Metric>> Series;
};

Metrics::Metrics(size_t MaxSeries) : MaxSeries(MaxSeries) {}
Metrics::~Metrics() = default;

static bool isValidName(std::string_view Name) {
  return !Name.empty() && !std::isdigit(static_cast<unsigned char>(Name[0])) &&
         std::all_of(Name.begin(), Name.end(), [](char C) {
           return std::isalnum(static_cast<unsigned char>(C)) || C == '_';
         });
}

static std::string escape(std::string_view Text, bool EscapeQuotes) {
  std::string Escaped;
  for (char C : Text) {
    if (C == '\n')
      Escaped += "\\n";
    else if (C == '\\' || (EscapeQuotes && C == '"'))
      (Escaped += '\\') += C;
    else
      Escaped += C;
  }
  return Escaped;
}

static std::string labelText(Metrics::Labels SeriesLabels) {
  std::sort(SeriesLabels.begin(), SeriesLabels.end());
  std::string Text;
  for (const auto &[Name, Value] : SeriesLabels) {
    if (!isValidName(Name))
      continue;
    Text += fmt::format("{}{}=\"{}\"", Text.empty() ? "" : ",", Name,
                        escape(Value, true));
  }
  return Text;
}

bool Metrics::isNameFree(const std::string &Name) const {
  return isValidName(Name) && this->Counters.count(Name) == 0 &&
         this->Gauges.count(Name) == 0 && this->Histograms.count(Name) == 0;
}

template <typename Metric>
Metric &Metrics::findOrCreate(std::map<std::string, Family<Metric>> &Families,
                              const std::string &Name, const std::string &Help,
                              Labels SeriesLabels, Metric &Unexposed) {
  auto Found = Families.find(Name);
  if (Found == Families.end()) {
    if (!this->isNameFree(Name))
      return Unexposed;
    Found = Families.emplace(Name, Family<Metric>{Help, {}}).first;
  }
  auto &Series = Found->second.Series;
  std::string Text = labelText(std::move(SeriesLabels));
  auto Existing = Series.find(Text);
  if (Existing != Series.end())
    return *Existing->second;
  if (this->SeriesCount < this->MaxSeries) {
    ++this->SeriesCount;
    return *Series.emplace(Text, std::make_unique<Metric>()).first->second;
  }
  ++this->OverflowLookups;
  auto &Overflow = Series["overflow=\"true\""];
  if (!Overflow)
    Overflow = std::make_unique<Metric>();
  return *Overflow;
}

Counter &Metrics::counter(const std::string &Name, const std::string &Help,
                          Labels SeriesLabels) {
  return this->findOrCreate(this->Counters, Name, Help, std::move(SeriesLabels),
                            this->UnexposedCounter);
}

Gauge &Metrics::gauge(const std::string &Name, const std::string &Help,
                      Labels SeriesLabels) {
  return this->findOrCreate(this->Gauges, Name, Help, std::move(SeriesLabels),
                            this->UnexposedGauge);
}

LatencyHistogram &Metrics::histogram(const std::string &Name,
                                     const std::string &Help,
                                     Labels SeriesLabels) {
  return this->findOrCreate(this->Histograms, Name, Help,
                            std::move(SeriesLabels), this->UnexposedHistogram);
}

static void writeHeader(fmt::memory_buffer &Text, const std::string &Name,
                        const std::string &Help, std::string_view Type) {
  fmt::format_to(std::back_inserter(Text), "# HELP {0} {1}\n# TYPE {0} {2}\n",
                 Name, escape(Help, false), Type);
}

static std::string braced(const std::string &Labels) {
  return Labels.empty() ? "" : fmt::format("{{{}}}", Labels);
}

template <typename Metric>
static void writeValue(fmt::memory_buffer &Text, const std::string &Name,
                       const std::string &Labels, const Metric &M) {
  fmt::format_to(std::back_inserter(Text), "{}{} {}\n", Name, braced(Labels),
                 M.value());
}

static void writeValue(fmt::memory_buffer &Text, const std::string &Name,
                       const std::string &Labels, const LatencyHistogram &H) {
  auto Out = std::back_inserter(Text);
  std::string Prefix = Labels.empty() ? "" : Labels + ",";
  uint64_t CumulativeCount = H.countAt(-1);
  for (int I = 0; I < LatencyHistogram::Bins; ++I) {
    CumulativeCount += H.countAt(I);
    fmt::format_to(Out, "{}_bucket{{{}le=\"{:.4g}\"}} {}\n", Name, Prefix,
                   H.upperBound(I), CumulativeCount);
  }
  fmt::format_to(Out, "{}_bucket{{{}le=\"+Inf\"}} {}\n", Name, Prefix,
                 H.count());
  fmt::format_to(Out, "{}_sum{} {}\n", Name, braced(Labels), H.sumSeconds());
  fmt::format_to(Out, "{}_count{} {}\n", Name, braced(Labels), H.count());
}

template <typename Families>
static void writeFamilies(fmt::memory_buffer &Text, const Families &All,
                          std::string_view Type) {
  for (const auto &[Name, F] : All) {
    writeHeader(Text, Name, F.Help, Type);
    for (const auto &[Labels, M] : F.Series)
      writeValue(Text, Name, Labels, *M);
  }
}

std::string Metrics::exposition() const {
  fmt::memory_buffer Text;
  writeFamilies(Text, this->Counters, "counter");
  writeFamilies(Text, this->Gauges, "gauge");
  writeFamilies(Text, this->Histograms, "histogram");
  Counter Overflow;
  Overflow.add(this->OverflowLookups);
  std::string Name = "vanillayard_metrics_overflow_total";
  writeHeader(Text, Name, "Look-ups of series beyond the bound.", "counter");
  writeValue(Text, Name, "", Overflow);
  return fmt::to_string(Text);
}

} // namespace vanillayard
