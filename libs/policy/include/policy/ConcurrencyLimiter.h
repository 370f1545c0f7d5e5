#ifndef VANILLAYARD_POLICY_CONCURRENCYLIMITER_H
#define VANILLAYARD_POLICY_CONCURRENCYLIMITER_H

#include "policy/PolicyNames.h"

#include "absl/time/time.h"

#include <memory>

namespace vanillayard {

/// Limit of one host's requests in flight on one worker.
class ConcurrencyLimiter {
public:
  virtual ~ConcurrencyLimiter() = default;

  static std::unique_ptr<ConcurrencyLimiter> create(ConcurrencyControl Control);

  /// Sets the bound that the limit never exceeds.
  virtual void setBound(int Slots, int Connections) = 0;

  /// At least 1 and at most the bound; 0 if the bound is 0.
  virtual int limit() const = 0;

  /// A request ended with an answer.
  /// \param InFlight requests in flight with it, itself included.
  virtual void onSuccess(int InFlight) = 0;

  /// The worker refused for lack of room, or an answer was lost.
  virtual void onOverload(absl::Time Now) = 0;
};

} // namespace vanillayard

#endif
