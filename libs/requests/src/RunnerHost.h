#ifndef VANILLAYARD_REQUESTS_RUNNERHOST_H
#define VANILLAYARD_REQUESTS_RUNNERHOST_H

#include "LiveRequest.h"

#include "absl/status/statusor.h"

namespace vanillayard {

class WorkerClient;

/// What the runners need from the request task.
class RunnerHost {
public:
  virtual ~RunnerHost() = default;

  virtual Executor &executor() = 0;
  virtual WorkerClient &workers() = 0;
  virtual WorkerTable &table() = 0;
  virtual const HostId &hostId() const = 0;

  /// Answers the caller, once; later answers are dropped. An error that says
  /// "not run" is replaced if an attempt ran or may have run.
  virtual void finish(LiveRequest &R, absl::StatusOr<RequestAnswer> Result) = 0;

  /// One step of the request has ended; it is forgotten when all have and the
  /// caller was answered.
  virtual void endStep(LiveRequest &R) = 0;

  /// Puts the request ahead of the queue until a worker has room.
  virtual void requeue(LiveRequest &R) = 0;

  /// Retries after a backoff if the retry budget allows it.
  /// \returns false if there is no retry.
  virtual bool retry(LiveRequest &R, bool NotRun) = 0;

  /// Takes a hedged attempt from the retry budget.
  virtual bool takeHedge(LiveRequest &R) = 0;

  /// A request ran to its end.
  virtual void noteSuccess(LiveRequest &R, absl::Duration RunTime) = 0;

  /// When a second attempt of an urgent request is worth it; infinite if never.
  virtual absl::Duration hedgeDelay(const LiveRequest &R) = 0;
};

} // namespace vanillayard

#endif
