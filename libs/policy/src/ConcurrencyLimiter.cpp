#include "policy/ConcurrencyLimiter.h"

#include <algorithm>

namespace vanillayard {

// Minimum time between two decreases: one overload makes many requests in
// flight fail, but must lower the limit only once.
static constexpr absl::Duration DecreaseInterval = absl::Milliseconds(200);
static constexpr double DecreaseFactor = 0.7;

/// Baseline: the limit is always the bound.
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

/// Additive increase, multiplicative decrease (AIMD). Refusals and lost answers
/// decrease the limit. Latency does not: a worker runs one task per slot, and
/// run times differ between kinds by orders of magnitude.
class AdaptiveLimiter final : public ConcurrencyLimiter {
public:
  void setBound(int Slots, int Connections) override {
    int NewBound = std::max(0, std::min(Slots, Connections));
    // The limit of a new worker starts at the bound.
    this->Limit =
        this->Bound == 0 ? NewBound : std::min<double>(this->Limit, NewBound);
    this->Bound = NewBound;
  }

  int limit() const override {
    return std::min(this->Bound, std::max(1, static_cast<int>(this->Limit)));
  }

  void onSuccess(int InFlight) override {
    // Unless the limit is reached, a success does not show that the worker can
    // take more requests.
    if (InFlight >= this->limit())
      this->Limit = std::min<double>(
          this->Bound, this->Limit + 1 / std::max(1.0, this->Limit));
  }

  void onOverload(absl::Time Now) override {
    if (Now - this->LastDecrease < DecreaseInterval)
      return;
    this->LastDecrease = Now;
    // Decreases from the rounded limit in use, so that every decrease lowers
    // it.
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
