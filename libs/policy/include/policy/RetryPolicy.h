#ifndef VANILLAYARD_POLICY_RETRYPOLICY_H
#define VANILLAYARD_POLICY_RETRYPOLICY_H

#include "base/Ids.h"
#include "policy/PolicyNames.h"

#include "absl/time/time.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace vanillayard {

/// Decides whether and when a failed attempt is repeated.
class RetryPolicy {
public:
  struct Failure {
    /// Attempts made so far, at least 1.
    int Attempts = 1;
    /// The failed attempt provably did not run the request.
    bool NotRun = false;
    /// The request may run more than once.
    bool Repeatable = false;
    /// Time until the deadline.
    absl::Duration Remaining;
  };

  virtual ~RetryPolicy() = default;

  /// \param BudgetShare retries as a share of successes of an account.
  static std::unique_ptr<RetryPolicy> create(RetryControl Control,
                                             double BudgetShare, uint64_t Seed);

  virtual void setBudgetShare(double Share) = 0;

  /// A request of \p Account succeeded, which adds to its budget.
  virtual void onSuccess(const ClientAccountId &Account) = 0;

  /// \returns the time to wait before the next attempt, or nothing when there
  ///          must be none. A returned retry has been taken from the budget.
  virtual std::optional<absl::Duration>
  onFailure(const ClientAccountId &Account, const Failure &Failed) = 0;

  /// Takes one extra attempt (a hedged request) from the budget.
  virtual bool takeExtra(const ClientAccountId &Account) = 0;
};

} // namespace vanillayard

#endif
