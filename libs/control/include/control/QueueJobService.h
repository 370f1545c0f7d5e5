#ifndef VANILLAYARD_CONTROL_QUEUEJOBSERVICE_H
#define VANILLAYARD_CONTROL_QUEUEJOBSERVICE_H

#include "base/Executor.h"
#include "control/CallContext.h"
#include "fleet/BatchJob.h"
#include "fleet/BatchState.h"

#include "absl/status/statusor.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace vanillayard {

class CoordinationStore;
class Log;
class Metrics;
class QueueTable;

/// Serves callers' requests to queues: submits jobs, returns their state,
/// cancels them and counts those that wait.
///
/// submit() accepts a job once its record is in the store. Each call retries a
/// store operation that got no answer until the caller's deadline, and then
/// fails with OutcomeUnknown: the caller may repeat it with the same job id.
///
/// Errors of all calls: NotReady before the first configuration, NotFound if
/// the host and path name no queue, Unauthenticated for an unknown API key,
/// InvalidRequest for a malformed job id, Gone for a job that does not exist,
/// PlatformUnavailable, OutcomeUnknown. submit() also returns InvalidRequest
/// for an invalid job, Unsupported, and Conflict if the id belongs to another
/// account's job.
class QueueJobService {
public:
  using DoneCallback = std::function<void(absl::Status)>;
  using StateCallback = std::function<void(absl::StatusOr<BatchState>)>;
  using CountCallback = std::function<void(absl::StatusOr<int64_t>)>;

  QueueJobService(Executor &Exec, CoordinationStore &Store, Log &Events,
                  Metrics &MetricRegistry);
  ~QueueJobService();

  void configurationChanged(std::shared_ptr<const QueueTable> Newer);
  bool hasConfiguration() const;

  /// \param Draft the job as decoded from the request, or the decoding error;
  ///        submit() sets its id and the parameters that the queue prescribes.
  void submit(const CallContext &Caller, absl::StatusOr<BatchJob> Draft,
              DoneCallback Done);
  void readState(const CallContext &Caller, StateCallback Done);
  void cancel(const CallContext &Caller, DoneCallback Done);
  /// Counts the jobs of the queue that have not started, as last published by
  /// the leader.
  void countWaitingJobs(const CallContext &Caller, CountCallback Done);

  /// Checks a submission before its body is read: the queue, the API key, the
  /// job id, and the sizes of headers and body in bytes. Errors besides those
  /// above: HeadersTooLarge, PayloadTooLarge.
  absl::Status checkSubmission(const CallContext &Caller, size_t HeaderBytes,
                               size_t BodyBytes) const;

  /// Whether the path is that of a queue rather than of a job.
  bool isQueuePath(const CallContext &Caller) const;

  class Impl;

private:
  std::shared_ptr<Impl> Implementation;
};

} // namespace vanillayard

#endif
