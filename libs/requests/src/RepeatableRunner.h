#ifndef VANILLAYARD_REQUESTS_REPEATABLERUNNER_H
#define VANILLAYARD_REQUESTS_REPEATABLERUNNER_H

#include "LiveRequest.h"
#include "endpoint/WorkerClient.h"

namespace vanillayard {

class RunnerHost;

/// Runs repeatable requests: one call per attempt, hedged if urgent.
class RepeatableRunner {
public:
  explicit RepeatableRunner(RunnerHost &Host) : Host(Host) {}

  void start(const LivePtr &R, const WorkerTable::Reservation &Place);

private:
  void launch(const LivePtr &R, const WorkerTable::Reservation &Place);
  void scheduleHedge(const LivePtr &R, size_t FirstWorker);
  void onResult(LiveRequest &R, const WorkerTable::Reservation &Place,
                const LeaseId &Lease, absl::Time Sent,
                absl::StatusOr<TaskResult> Result);
  void onError(LiveRequest &R, size_t Worker, const absl::Status &Error);
  void stopOthers(LiveRequest &R);

  RunnerHost &Host;
};

} // namespace vanillayard

#endif
