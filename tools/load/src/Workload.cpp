#include "load/Workload.h"

#include "base/Rendezvous.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace vanillayard {

using RandomEngine = std::mt19937_64;

/// Returns a uniform random number in (0, 1]. Avoids the distributions of the
/// standard library, which may differ between implementations; equal seeds must
/// give equal schedules.
static double drawUniform(RandomEngine &Random) {
  constexpr int MantissaBits = 53;
  uint64_t Bits = Random() >> (64 - MantissaBits);
  return std::ldexp(static_cast<double>(Bits) + 1, -MantissaBits);
}

static double rateAt(const LoadStream &Stream, absl::Duration At) {
  double Rate = Stream.RatePerSecond;
  for (const FloodWindow &Flood : Stream.Floods)
    if (At >= Flood.Begin && At < Flood.End)
      Rate *= Flood.Factor;
  return Rate;
}

static double highestRate(const LoadStream &Stream) {
  double Highest = Stream.RatePerSecond;
  for (const FloodWindow &Flood : Stream.Floods)
    Highest = std::max(Highest, rateAt(Stream, Flood.Begin));
  return Highest;
}

static CallerId drawCaller(const LoadStream &Stream, RandomEngine &Random) {
  double Total = 0;
  for (const WeightedCaller &Caller : Stream.Callers)
    Total += Caller.Weight;
  double Drawn = drawUniform(Random) * Total;
  for (const WeightedCaller &Caller : Stream.Callers) {
    Drawn -= Caller.Weight;
    if (Drawn <= 0)
      return Caller.Name;
  }
  return Stream.Callers.back().Name;
}

static absl::Status validate(const LoadStream &Stream) {
  auto Refuse = [&](const char *Reason) {
    return absl::InvalidArgumentError(
        fmt::format("stream {}: {}", Stream.Name, Reason));
  };
  if (Stream.Callers.empty())
    return Refuse("the list of callers is empty");
  for (const WeightedCaller &Caller : Stream.Callers)
    if (!(Caller.Weight > 0) || !std::isfinite(Caller.Weight))
      return Refuse("the weight of a caller must be finite and above 0");
  if (!(Stream.RatePerSecond > 0) || !std::isfinite(Stream.RatePerSecond))
    return Refuse("the rate must be finite and above 0");
  for (const FloodWindow &Flood : Stream.Floods)
    if (!(Flood.Factor >= 0) || !std::isfinite(Flood.Factor))
      return Refuse("the factor of a flood must be finite and not below 0");
  if (Stream.BurstSize < 1)
    return Refuse("the burst size must be at least 1");
  if (Stream.Job.GangSizes.empty())
    return Refuse("the list of gang sizes is empty");
  return absl::OkStatus();
}

/// Draws the arrivals of one stream by thinning: draws candidates at the
/// highest rate and keeps each with the probability rate at that time / highest
/// rate. Returns false if \p Out would get more than \p MaxRequests requests.
static bool drawArrivals(const LoadStream &Stream, size_t Index,
                         absl::Duration Until, uint64_t Seed,
                         size_t MaxRequests, std::vector<PlannedRequest> &Out) {
  RandomEngine Random(
      Seed ^ stableHash(fmt::format("{}/{}", Stream.Name, Stream.Kind.str())));
  int Group = Stream.Arrivals == ArrivalProcess::Bursts ? Stream.BurstSize : 1;
  double Highest = highestRate(Stream);
  absl::Duration At = Stream.Begin;
  Until = std::min(Until, Stream.End);
  while (true) {
    At += absl::Seconds(-std::log(drawUniform(Random)) * Group / Highest);
    if (At >= Until)
      return true;
    if (drawUniform(Random) * Highest > rateAt(Stream, At))
      continue;
    for (int I = 0; I < Group; ++I) {
      PlannedRequest Request;
      Request.ScheduledTime = At;
      Request.StreamIndex = Index;
      Request.Caller = drawCaller(Stream, Random);
      const std::vector<int> &Sizes = Stream.Job.GangSizes;
      Request.GangSize = Sizes[Random() % Sizes.size()];
      if (Out.size() >= MaxRequests)
        return false;
      Out.push_back(std::move(Request));
    }
  }
}

Workload::Builder &Workload::Builder::stream(LoadStream Value) {
  this->Streams.push_back(std::move(Value));
  return *this;
}

Workload::Builder &Workload::Builder::seed(uint64_t Value) {
  this->Seed = Value;
  return *this;
}

Workload::Builder &Workload::Builder::duration(absl::Duration Value) {
  this->Duration = Value;
  return *this;
}

Workload::Builder &Workload::Builder::maxRequests(size_t Value) {
  this->MaxRequests = Value;
  return *this;
}

absl::StatusOr<Workload> Workload::Builder::build() const {
  if (this->Duration <= absl::ZeroDuration() || this->Duration > MaxDuration)
    return absl::InvalidArgumentError(
        "the duration must be above 0 and at most 10 min");
  Workload Result;
  Result.Duration = this->Duration;
  Result.Streams = this->Streams;
  for (size_t I = 0; I < this->Streams.size(); ++I) {
    absl::Status Valid = validate(this->Streams[I]);
    if (!Valid.ok())
      return Valid;
    if (!drawArrivals(this->Streams[I], I, this->Duration, this->Seed,
                      this->MaxRequests, Result.Requests))
      return absl::ResourceExhaustedError(fmt::format(
          "the workload has more than {} requests", this->MaxRequests));
  }
  std::stable_sort(Result.Requests.begin(), Result.Requests.end(),
                   [](const auto &A, const auto &B) {
                     return A.ScheduledTime < B.ScheduledTime;
                   });
  for (size_t I = 0; I < Result.Requests.size(); ++I)
    Result.Requests[I].Sequence = I;
  return Result;
}

} // namespace vanillayard
