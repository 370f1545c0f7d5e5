#ifndef VANILLAYARD_CONTROL_WORKERLEASEBOUND_H
#define VANILLAYARD_CONTROL_WORKERLEASEBOUND_H

#include "absl/time/time.h"

#include <cstdint>
#include <map>

namespace vanillayard {

/// Upper bound of the time until which a worker keeps its runs, from the calls
/// that have extended its lease. Until then a silent worker may still run them.
///
/// A call names the end of the lease on the clock of one incarnation of the
/// worker, its target. A later incarnation, whose clock starts from 0 again,
/// may receive the call too: it grants its longest lease then. Calls count as
/// received by a later incarnation only once it is known that there is one.
class WorkerLeaseBound {
public:
  /// Handle of a call that extends the lease.
  enum class CallId : uint64_t {};

  /// \param LongestLease longest lease that a worker grants, on its own clock.
  /// \param EndsBy when every lease has ended that was granted before.
  WorkerLeaseBound(absl::Duration LongestLease, absl::Time EndsBy)
      : LongestLease(LongestLease), EndsBy(EndsBy) {}

  /// Raises the bound to \p Time.
  void extend(absl::Time Time);

  /// A call was sent whose lease ends by \p LeaseEndsBy on its target.
  /// \param TimesOutAt when the connection of the call is closed at the latest.
  CallId callSent(absl::Time LeaseEndsBy, absl::Time SentAt,
                  absl::Time TimesOutAt);
  /// The target has answered the call.
  void answeredByTarget(CallId Call);
  /// A later incarnation has answered the call, at \p Now.
  void answeredByLaterIncarnation(CallId Call, absl::Time Now);
  /// The call has ended without an answer.
  void unanswered(CallId Call);

  /// The current incarnation has answered a call that was sent at \p SentAt:
  /// calls that had ended before reached no later incarnation.
  void incarnationConfirmed(absl::Time SentAt);
  /// The worker has restarted. A later incarnation may have received each call
  /// that its target has not answered, or may still receive it.
  void incarnationEnded();

  /// When every lease of the worker has ended.
  absl::Time endsBy() const;

  /// When the longest lease has ended that is granted at \p GrantedAt.
  static absl::Time longestLeaseEnd(absl::Time GrantedAt,
                                    absl::Duration LongestLease);

private:
  struct Call {
    absl::Time SentAt;
    absl::Time TimesOutAt;
    bool IsInFlight = true;
    /// The incarnation that the call was meant for has ended.
    bool IsTargetGone = false;
  };

  void forgetCall(CallId Id) { this->Calls.erase(Id); }

  absl::Duration LongestLease;
  absl::Time EndsBy;
  /// Calls in flight, and calls without an answer whose target may have ended
  /// before it received them.
  std::map<CallId, Call> Calls;
  uint64_t NextCall = 1;
};

} // namespace vanillayard

#endif
