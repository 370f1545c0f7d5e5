#ifndef VANILLAYARD_ENDPOINT_WORKERCLIENT_H
#define VANILLAYARD_ENDPOINT_WORKERCLIENT_H

#include "endpoint/WorkerTypes.h"

#include "absl/status/statusor.h"

#include <functional>
#include <string>
#include <vector>

namespace vanillayard {

/// Interface through which an entry host calls workers.
///
/// Each callback runs once, on the owner's executor, and only after the call
/// has returned. All calls are idempotent by lease id: a caller may repeat a
/// call whose answer was lost.
///
/// Errors: NoCapacity when the worker provably did nothing (no connection, no
/// free slot, draining); TaskFailed when the task ran and failed;
/// AnswerTruncated and AnswerMismatch when an answer was discarded;
/// OutcomeUnknown when the answer was lost in any other way; Conflict when the
/// worker has seen a higher epoch or the lease was revoked or has expired
/// before the start, so this call started nothing.
class WorkerClient {
public:
  template <typename T> using Callback = std::function<void(absl::StatusOr<T>)>;

  virtual ~WorkerClient() = default;

  virtual void status(const Endpoint &Worker, Callback<WorkerStatus> Done) = 0;

  /// Acquires a lease without starting its task. Acquiring a held lease again
  /// succeeds.
  virtual void acquire(const Endpoint &Worker, const LeaseRequest &Request,
                       Callback<LeaseReport> Done) = 0;

  /// Renews \p Leases for \p Ttl from now by the worker's clock. A lease that
  /// is held under a lower epoch than \p Holder passes to \p Holder.
  virtual void renew(const Endpoint &Worker, const std::vector<LeaseId> &Leases,
                     const Epoch &Holder, absl::Duration Ttl,
                     Callback<RenewResult> Done) = 0;

  /// Starts the task of a held lease. The answer does not wait for the task's
  /// result.
  virtual void start(const Endpoint &Worker, const LeaseId &Lease,
                     const Epoch &Holder, std::string Body,
                     Callback<LeaseReport> Done) = 0;

  /// Starts the task of a held lease and waits for its result.
  /// \param Timeout how long to wait for the answer.
  virtual void startAndWait(const Endpoint &Worker, const LeaseId &Lease,
                            const Epoch &Holder, std::string Body,
                            absl::Duration Timeout,
                            Callback<TaskResult> Done) = 0;

  /// Acquires a lease and runs its task in one call, for repeatable short
  /// requests.
  virtual void run(const Endpoint &Worker, const LeaseRequest &Request,
                   std::string Body, absl::Duration Timeout,
                   Callback<TaskResult> Done) = 0;

  /// Reads the state of a lease and, if its task has ended, the result.
  virtual void query(const Endpoint &Worker, const LeaseId &Lease,
                     Callback<TaskResult> Done) = 0;

  /// Makes the worker refuse every later start under the lease.
  virtual void revoke(const Endpoint &Worker, const LeaseId &Lease,
                      Callback<RevokeResult> Done) = 0;

  /// Stops a running task. Succeeds also if it is not running any more.
  virtual void stop(const Endpoint &Worker, const LeaseId &Lease,
                    const Epoch &Holder, Callback<LeaseReport> Done) = 0;

  /// Asks a running task to write a checkpoint. LeaseReport::Checkpointed
  /// tells whether it has been written.
  virtual void checkpoint(const Endpoint &Worker, const LeaseId &Lease,
                          const Epoch &Holder, Callback<LeaseReport> Done) = 0;

  /// Slows a running task to \p Share (0 to 1) of its speed.
  virtual void throttle(const Endpoint &Worker, const LeaseId &Lease,
                        const Epoch &Holder, double Share,
                        Callback<LeaseReport> Done) = 0;

  /// Deletes an ended or unstarted lease and its result.
  virtual void release(const Endpoint &Worker, const LeaseId &Lease,
                       Callback<LeaseReport> Done) = 0;
};

} // namespace vanillayard

#endif
