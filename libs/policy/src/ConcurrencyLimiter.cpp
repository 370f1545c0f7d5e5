#include "policy/ConcurrencyLimiter.h"

#include <algorithm>

namespace vanillayard {

// One congestion event makes many requests in flight fail; it counts once.
static constexpr absl::Duration DecreaseInterval = absl::Milliseconds(200);
static constexpr double DecreaseFactor = 0.7;

/// Baseline: the bound itself.
class FixedLimiter final : public ConcurrencyLimiter {
public:
  void setBound(int Slots, int Connections) override {
    this->Bound = std::max(0, std::min(Slots, Connections));
  }
  int limit() const override { return this->Bound; }
  void onSuccess(int /*InFlight*/) override {}
  void onOverload(absl::Time /*Now*/) override {}

private:
  int Bound = 0;
};

/// Additive increase, multiplicative decrease. The signal is refusals and lost
/// answers and not latency: a worker runs one task per slot, and run times
/// differ between kinds by orders of magnitude.
class AdaptiveLimiter final : public ConcurrencyLimiter {
public:
  void setBound(int Slots, int Connections) override {
    int NewBound = std::max(0, std::min(Slots, Connections));
    // A worker seen for the first time starts at its bound.
    this->Limit =
        this->Bound == 0 ? NewBound : std::min<double>(this->Limit, NewBound);
    this->Bound = NewBound;
  }

  int limit() const override {
    return std::min(this->Bound, std::max(1, static_cast<int>(this->Limit)));
  }

  void onSuccess(int InFlight) override {
    // A limit that is not reached says nothing about what the worker can take.
    if (InFlight >= this->limit())
      this->Limit = std::min<double>(
          this->Bound, this->Limit + 1 / std::max(1.0, this->Limit));
  }

  void onOverload(absl::Time Now) override {
    if (Now - this->LastDecrease < DecreaseInterval)
      return;
    this->LastDecrease = Now;
    // From the whole number in force, so that every decrease has an effect.
    this->Limit = std::max(1.0, this->limit() * DecreaseFactor);
  }

private:
  int Bound = 0;
  double Limit = 0;
  absl::Time LastDecrease = absl::InfinitePast();
};

std::unique_ptr<ConcurrencyLimiter>
ConcurrencyLimiter::create(ConcurrencyControl Control) {
  if (Control == ConcurrencyControl::Fixed)
    return std::make_unique<FixedLimiter>();
  return std::make_unique<AdaptiveLimiter>();
}

} // namespace vanillayard
