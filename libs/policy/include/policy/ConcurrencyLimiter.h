#ifndef VANILLAYARD_POLICY_CONCURRENCYLIMITER_H
#define VANILLAYARD_POLICY_CONCURRENCYLIMITER_H

#include "policy/PolicyNames.h"

#include "absl/time/time.h"

#include <memory>

namespace vanillayard {

/// Limits the requests of one host that are in flight on one worker.
class ConcurrencyLimiter {
public:
  virtual ~ConcurrencyLimiter() = default;

  static std::unique_ptr<ConcurrencyLimiter> create(ConcurrencyControl Control);

  /// Sets the upper bound of the limit to the smaller of the two numbers.
  /// \param Slots slots of the worker.
  /// \param Connections connections that the worker accepts.
  virtual void setBound(int Slots, int Connections) = 0;

  /// Maximum number of requests in flight: at least 1 and at most the bound; 0
  /// if the bound is 0.
  virtual int limit() const = 0;

  /// Records a request that the worker answered.
  /// \param InFlight requests in flight before it ended, itself included.
  virtual void onSuccess(int InFlight) = 0;

  /// Records that the worker refused a request because it had no free slot, or
  /// that an answer was lost.
  virtual void onOverload(absl::Time Now) = 0;
};

} // namespace vanillayard

#endif
