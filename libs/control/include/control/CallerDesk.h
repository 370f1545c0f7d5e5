#ifndef VANILLAYARD_CONTROL_CALLERDESK_H
#define VANILLAYARD_CONTROL_CALLERDESK_H

#include "base/Executor.h"
#include "control/CallerIdentity.h"
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

/// Answers callers of queues: submits, shows, cancels and counts jobs.
///
/// A job is accepted once its record is in the store. A call without an answer
/// from the store is tried again until the call's time is over, and then ends
/// as OutcomeUnknown: the caller may come again with the same id.
///
/// Errors of all calls: NotReady before the first configuration, NotFound
/// without such a queue, Unauthenticated for an unknown key, Gone for a job
/// that does not exist, PlatformUnavailable, OutcomeUnknown. submit() also
/// gives InvalidRequest, Unsupported, and Conflict for an id that belongs to
/// another account's job.
class CallerDesk {
public:
  using DoneCallback = std::function<void(absl::Status)>;
  using StateCallback = std::function<void(absl::StatusOr<BatchState>)>;
  using CountCallback = std::function<void(absl::StatusOr<int64_t>)>;

  CallerDesk(Executor &Exec, CoordinationStore &Store, Log &Events,
             Metrics &Figures);
  ~CallerDesk();

  void configurationChanged(std::shared_ptr<const QueueTable> Newer);
  bool hasConfiguration() const;

  /// \param Draft the job as the caller describes it, or why it cannot be read;
  ///        its id and the terms of the queue are filled in.
  void submit(const CallerIdentity &Caller, absl::StatusOr<BatchJob> Draft,
              DoneCallback Done);
  void state(const CallerIdentity &Caller, StateCallback Done);
  void cancel(const CallerIdentity &Caller, DoneCallback Done);
  /// Jobs of the queue that have not started.
  void waiting(const CallerIdentity &Caller, CountCallback Done);

  /// Checks what can be checked before the body of a submission is read: the
  /// queue, the key and the sizes of headers and body.
  absl::Status admit(const CallerIdentity &Caller, size_t HeaderBytes,
                     size_t BodyBytes) const;

  /// The path is that of a queue and not of a job.
  bool namesQueue(const CallerIdentity &Caller) const;

  class Impl;

private:
  std::shared_ptr<Impl> Implementation;
};

} // namespace vanillayard

#endif
