#include "prediction/WorkerSpeeds.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <vector>

namespace vanillayard {

using Json = nlohmann::json;

/// Variance of the logarithm of a speed of which nothing is known: workers
/// differ by factors of up to about two.
static constexpr double PriorVariance = 0.16;
/// Time in which earlier comparisons lose two thirds of their weight.
static constexpr absl::Duration MemoryTime = absl::Seconds(90);
/// Largest precision of earlier comparisons, so that a change is believed after
/// some new ones.
static constexpr double MaxEarlierPrecision = 1 / 0.12;
/// A worker with less precision from earlier comparisons, and without current
/// ones, is forgotten.
static constexpr double MinPrecision = 0.5;
/// Weight of the newest rate of a run against its earlier ones.
static constexpr double RepeatedWeight = 0.5;
/// Share of a step's workers that are not faster than its fastest ones, so that
/// one exceptional rate does not make all others slow.
static constexpr double FastestQuantile = 0.8;
/// Variance that does not shrink with the number of runs.
static constexpr double ComparisonVariance = 0.02;
/// The rates of a step differ if one is below the fastest by this much, as a
/// logarithm, and by MixedDeviations standard deviations.
static constexpr double MixedDifference = 0.45;
static constexpr double MixedDeviations = 2.0;
/// Largest deficit that one step shows; a task with seven times the usual work
/// is no slow worker.
static constexpr double MaxDeficit = 1.8;
/// A larger deficit counts with less weight, as it may come from one unusually
/// long task.
static constexpr double UsualDeficit = 1.2;
/// Limits of the logarithm of a speed: factors of 20.
static constexpr double MaxLogSpeed = 3.0;
/// Standard deviations by which a worker must be slower than SlowShare allows.
static constexpr double SlowDeviations = 1.5;
/// Longest record that is read, in bytes.
static constexpr size_t MaxRecordBytes = 512 << 10;

void WorkerSpeeds::observe(const Observation &Seen, absl::Time Now) {
  if (!std::isfinite(Seen.LogRate))
    return;
  Step &Owner = this->Steps[Seen.Step];
  auto Found = Owner.Workers.find(Seen.Worker);
  if (Found == Owner.Workers.end()) {
    if (this->PairCount >= MaxPairs)
      return;
    ++this->PairCount;
    Found = Owner.Workers.try_emplace(Seen.Worker).first;
    Found->second.LogRate = Seen.LogRate;
  }
  Pair &Entry = Found->second;
  Entry.Runs += Seen.IsNewRun || Entry.Runs == 0 ? 1 : 0;
  double Weight = Seen.IsNewRun ? 1.0 : RepeatedWeight;
  Entry.LogRate += Weight / Entry.Runs * (Seen.LogRate - Entry.LogRate);
  Entry.Variance = Seen.Variance;
  Entry.ObservedAt = Now;
}

void WorkerSpeeds::age(absl::Time Now) {
  for (auto &[Id, Known] : this->Workers) {
    absl::Duration Time = std::max(Now - Known.AgedAt, absl::ZeroDuration());
    double Kept = std::exp(-absl::FDivDuration(Time, MemoryTime));
    Known.Earlier.Precision *= Kept;
    Known.Earlier.Weighted *= Kept;
    Known.AgedAt = std::max(Known.AgedAt, Now);
  }
}

/// What a pair has shown becomes part of the earlier comparisons.
void WorkerSpeeds::dropOldPairs(absl::Time Now) {
  absl::erase_if(this->Steps, [&](auto &Entry) {
    absl::erase_if(Entry.second.Workers, [&](const auto &Row) {
      const auto &[Worker, Old] = Row;
      if (Now - Old.ObservedAt < Window)
        return false;
      --this->PairCount;
      auto Known = this->Workers.find(Worker);
      if (Known == this->Workers.end())
        return true;
      Belief &Earlier = Known->second.Earlier;
      Earlier = Earlier.with(Old.Shown);
      double Excess = Earlier.Precision / MaxEarlierPrecision;
      if (Excess > 1) {
        Earlier.Precision /= Excess;
        Earlier.Weighted /= Excess;
      }
      return true;
    });
    return Entry.second.Workers.empty();
  });
}

/// Compares the workers of a step.
void WorkerSpeeds::compare(Step &Entry) {
  std::vector<std::pair<double, const WorkerId *>> Rates;
  Rates.reserve(Entry.Workers.size());
  for (const auto &[Worker, Seen] : Entry.Workers)
    Rates.emplace_back(Seen.LogRate, &Worker);
  std::sort(Rates.begin(), Rates.end(),
            [](const auto &A, const auto &B) { return A.first < B.first; });
  auto Position = static_cast<size_t>(
      std::ceil(FastestQuantile * static_cast<double>(Rates.size() - 1)));
  const auto &[Fastest, FastestWorker] = Rates[Position];
  bool IsMixed = false;
  for (auto &[Worker, Seen] : Entry.Workers) {
    IsMixed |= Fastest - Seen.LogRate >
               std::max(MixedDifference,
                        MixedDeviations * std::sqrt(Seen.Variance / Seen.Runs));
  }
  const Pair &Reference = Entry.Workers.at(*FastestWorker);
  Entry.Work =
      WorkEstimate{this->logSpeed(*FastestWorker) - Fastest,
                   Reference.Variance / Reference.Runs + ComparisonVariance};
  for (auto &[Worker, Seen] : Entry.Workers) {
    if (!IsMixed) {
      Seen.Shown = Belief();
      continue;
    }
    double Deficit =
        std::clamp(Seen.LogRate - Fastest, -MaxDeficit, MaxDeficit);
    double Unusual = std::max(1.0, std::abs(Deficit) / UsualDeficit);
    Seen.Shown =
        Belief::of(Deficit, Seen.Variance / Seen.Runs * Unusual * Unusual +
                                ComparisonVariance);
  }
}

void WorkerSpeeds::refresh(absl::Time Now) {
  this->age(Now);
  this->dropOldPairs(Now);
  for (auto &[Id, Entry] : this->Steps)
    this->compare(Entry);
  absl::erase_if(this->Workers, [](const auto &Entry) {
    return Entry.second.Earlier.Precision < MinPrecision;
  });
  for (auto &[Worker, Known] : this->Workers)
    Known.Posterior = Belief::of(0, PriorVariance).with(Known.Earlier);
  for (const auto &[Id, Entry] : this->Steps)
    for (const auto &[Worker, Seen] : Entry.Workers) {
      if (Seen.Shown.Precision <= 0)
        continue;
      if (!this->Workers.contains(Worker) && this->Workers.size() >= MaxWorkers)
        continue;
      auto [Found, IsNew] = this->Workers.try_emplace(Worker);
      Speed &Known = Found->second;
      if (IsNew) {
        Known.AgedAt = Now;
        Known.Posterior = Belief::of(0, PriorVariance);
      }
      Known.Posterior = Known.Posterior.with(Seen.Shown);
    }
}

double WorkerSpeeds::logSpeed(const WorkerId &Worker) const {
  auto Found = this->Workers.find(Worker);
  return Found == this->Workers.end()
             ? 0
             : std::clamp(Found->second.Posterior.mean(), -MaxLogSpeed,
                          MaxLogSpeed);
}

bool WorkerSpeeds::isSlow(const WorkerId &Worker) const {
  auto Found = this->Workers.find(Worker);
  if (Found == this->Workers.end())
    return false;
  const Belief &Known = Found->second.Posterior;
  return Known.mean() + SlowDeviations * std::sqrt(Known.variance()) <
         std::log(SlowShare);
}

std::optional<WorkEstimate> WorkerSpeeds::work(StepId Id) const {
  auto Found = this->Steps.find(Id);
  return Found == this->Steps.end() ? std::nullopt : Found->second.Work;
}

void WorkerSpeeds::forget(const WorkerId &Worker) {
  for (auto &[Id, Entry] : this->Steps)
    this->PairCount -= Entry.Workers.erase(Worker);
  absl::erase_if(this->Steps, [](const auto &Entry) {
    return Entry.second.Workers.empty();
  });
  this->Workers.erase(Worker);
}

std::string WorkerSpeeds::encode() const {
  Json Rows = Json::array();
  for (const auto &[Worker, Known] : this->Workers)
    if (this->isSlow(Worker))
      Rows.push_back(
          {Worker.str(), std::round(Known.Posterior.mean() * 100) / 100});
  return Rows.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void WorkerSpeeds::decode(std::string_view Record, absl::Time Now) {
  if (Record.size() > MaxRecordBytes)
    return;
  Json Rows = Json::parse(Record, nullptr, false);
  if (!Rows.is_array())
    return;
  for (const Json &Row : Rows) {
    bool IsValid = Row.is_array() && Row.size() == 2 && Row[0].is_string() &&
                   Row[1].is_number() &&
                   std::abs(Row[1].get<double>()) <= MaxLogSpeed &&
                   this->Workers.size() < MaxWorkers;
    if (!IsValid)
      continue;
    Speed &Known = this->Workers[WorkerId(Row[0].get<std::string>())];
    Known.Earlier = Belief::of(Row[1].get<double>(), 1 / MaxEarlierPrecision);
    Known.Posterior = Belief::of(0, PriorVariance).with(Known.Earlier);
    Known.AgedAt = Now;
  }
}

} // namespace vanillayard
