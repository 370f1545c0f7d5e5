#include "policy/RetryPolicy.h"

#include "absl/container/flat_hash_map.h"

#include <algorithm>
#include <random>

namespace vanillayard {

static constexpr absl::Duration BackoffBase = absl::Milliseconds(10);
static constexpr absl::Duration BackoffCap = absl::Seconds(2);
static constexpr int MaxBackoffDoublings = 10;
// Lets an account retry that has too little traffic to earn a budget.
static constexpr double InitialTokens = 10;
static constexpr double MaxTokens = 100;

/// Baseline: allows every retry that is safe, without a budget.
class UnlimitedRetry : public RetryPolicy {
public:
  explicit UnlimitedRetry(uint64_t Seed) : Random(Seed) {}

  void setBudgetShare(double /*Share*/) override {}
  void onSuccess(const ClientAccountId & /*Account*/) override {}

  std::optional<absl::Duration> onFailure(const ClientAccountId &Account,
                                          const Failure &Failed) override {
    if (!Failed.NotRun && !Failed.Repeatable)
      return std::nullopt;
    int Doublings = std::min(Failed.Attempts - 1, MaxBackoffDoublings);
    absl::Duration Bound =
        std::min(BackoffCap, BackoffBase * (int64_t(1) << Doublings));
    // Full jitter spreads the retries of requests that failed together over the
    // whole interval.
    absl::Duration Wait =
        Bound * std::uniform_real_distribution<double>()(this->Random);
    if (Wait >= Failed.Remaining || !this->takeFromBudget(Account))
      return std::nullopt;
    return Wait;
  }

  bool takeFromBudget(const ClientAccountId & /*Account*/) override {
    return true;
  }

private:
  std::mt19937_64 Random;
};

/// Limits retries by a token bucket per account, which successes refill.
class BudgetedRetry final : public UnlimitedRetry {
public:
  BudgetedRetry(double Share, uint64_t Seed)
      : UnlimitedRetry(Seed), Share(Share) {}

  void setBudgetShare(double NewShare) override { this->Share = NewShare; }

  void onSuccess(const ClientAccountId &Account) override {
    double &Tokens = this->tokens(Account);
    Tokens = std::min(MaxTokens, Tokens + this->Share);
  }

  bool takeFromBudget(const ClientAccountId &Account) override {
    double &Tokens = this->tokens(Account);
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }

private:
  double &tokens(const ClientAccountId &Account) {
    return this->Budgets.try_emplace(Account, InitialTokens).first->second;
  }

  double Share;
  absl::flat_hash_map<ClientAccountId, double> Budgets;
};

std::unique_ptr<RetryPolicy>
RetryPolicy::create(RetryControl Control, double BudgetShare, uint64_t Seed) {
  if (Control == RetryControl::Unlimited)
    return std::make_unique<UnlimitedRetry>(Seed);
  return std::make_unique<BudgetedRetry>(BudgetShare, Seed);
}

} // namespace vanillayard
