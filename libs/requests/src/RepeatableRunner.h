#ifndef VANILLAYARD_REQUESTS_REPEATABLERUNNER_H
#define VANILLAYARD_REQUESTS_REPEATABLERUNNER_H

#include "LiveRequest.h"
#include "endpoint/WorkerClient.h"

namespace vanillayard {

class RunnerContext;

/// Runs repeatable requests. Each attempt is one call that acquires a lease and
/// runs the task; urgent requests are hedged with a second attempt.
class RepeatableRunner {
public:
  explicit RepeatableRunner(RunnerContext &Context) : Context(Context) {}

  void start(const LivePtr &R, const WorkerTable::Reservation &Slot);

private:
  void startAttempt(const LivePtr &R, const WorkerTable::Reservation &Slot);
  void scheduleHedge(const LivePtr &R, size_t FirstWorker);
  void onResult(LiveRequest &R, const WorkerTable::Reservation &Slot,
                const LeaseId &Lease, absl::Time Sent,
                absl::StatusOr<TaskResult> Result);
  void onError(LiveRequest &R, size_t Worker, const absl::Status &Error);
  void stopOthers(LiveRequest &R);

  RunnerContext &Context;
};

} // namespace vanillayard

#endif
