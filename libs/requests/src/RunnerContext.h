#ifndef VANILLAYARD_REQUESTS_RUNNERCONTEXT_H
#define VANILLAYARD_REQUESTS_RUNNERCONTEXT_H

#include "LiveRequest.h"

#include "absl/status/statusor.h"

namespace vanillayard {

class WorkerClient;

/// The functions of RequestTaskImpl that the runners call.
class RunnerContext {
public:
  virtual ~RunnerContext() = default;

  virtual Executor &executor() = 0;
  virtual WorkerClient &workerClient() = 0;
  virtual WorkerTable &workerTable() = 0;
  virtual const HostId &hostId() const = 0;

  /// Answers the caller, once; later answers are dropped. An error that says
  /// "not run" is replaced if an attempt ran or may have run.
  virtual void answerCaller(LiveRequest &R,
                            absl::StatusOr<RequestAnswer> Result) = 0;

  /// Ends one pending operation. The request is removed when it has no pending
  /// operation left and was answered.
  virtual void endOperation(LiveRequest &R) = 0;

  /// Puts the request ahead of the queue until a worker has a free slot.
  virtual void requeue(LiveRequest &R) = 0;

  /// Retries after a backoff if the retry budget allows it.
  /// \param NotRun the failed attempt provably did not run.
  /// \returns false if there is no retry.
  virtual bool scheduleRetry(LiveRequest &R, bool NotRun) = 0;

  /// Takes a hedged attempt from the retry budget of the request's account.
  /// \returns false if the budget is used up.
  virtual bool takeHedgeFromBudget(LiveRequest &R) = 0;

  /// Records the run time of a successful attempt and adds to the retry budget.
  virtual void recordSuccess(LiveRequest &R, absl::Duration RunTime) = 0;

  /// Time after the start at which the request is hedged; infinite if never.
  virtual absl::Duration hedgeDelay(const LiveRequest &R) = 0;
};

} // namespace vanillayard

#endif
