#ifndef VANILLAYARD_POLICY_RETRYPOLICY_H
#define VANILLAYARD_POLICY_RETRYPOLICY_H

#include "base/Ids.h"
#include "policy/PolicyNames.h"

#include "absl/time/time.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace vanillayard {

/// Decides whether and when a failed request is retried.
class RetryPolicy {
public:
  struct Failure {
    /// Attempts made so far, at least 1.
    int Attempts = 1;
    /// It is certain that the failed attempt did not run the request.
    bool NotRun = false;
    /// The request may run more than once.
    bool Repeatable = false;
    /// Time until the deadline.
    absl::Duration Remaining;
  };

  virtual ~RetryPolicy() = default;

  /// \param BudgetShare retries as a share of the successes of an account: each
  ///        success adds this to the account's budget.
  static std::unique_ptr<RetryPolicy> create(RetryControl Control,
                                             double BudgetShare, uint64_t Seed);

  virtual void setBudgetShare(double Share) = 0;

  /// Records a successful request of \p Account and adds to its budget.
  virtual void onSuccess(const ClientAccountId &Account) = 0;

  /// Decides about a retry and, if it allows one, takes it from the budget.
  /// \returns the time to wait before the next attempt, or nothing if the
  ///          request must not be retried.
  virtual std::optional<absl::Duration>
  onFailure(const ClientAccountId &Account, const Failure &Failed) = 0;

  /// Takes one extra attempt (a hedged request) from the budget.
  /// \returns false if the budget is used up.
  virtual bool takeFromBudget(const ClientAccountId &Account) = 0;
};

} // namespace vanillayard

#endif
