#ifndef VANILLAYARD_REQUESTS_REQUESTTASK_H
#define VANILLAYARD_REQUESTS_REQUESTTASK_H

#include "policy/PolicyNames.h"
#include "requests/RequestAnswer.h"
#include "requests/RequestCounters.h"
#include "requests/SubmittedRequest.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace vanillayard {

struct Configuration;
struct WorkerCapacity;
class Executor;
class RequestForwarder;
class Store;
class WorkerClient;

/// Why a request is cancelled.
enum class CancelReason {
  /// The caller is gone. A request that is not repeatable and runs is left to
  /// finish, so that a retry gets its answer.
  Disconnected,
  /// Cancelled on purpose; a running task is stopped.
  Requested,
};

/// The short requests of one entry host: admission, queue, dispatch, claims,
/// retries, forwarding and graceful shutdown.
///
/// All calls are made on the executor. Destroying the task drops all requests
/// without an answer.
class RequestTask {
public:
  class Builder;

  virtual ~RequestTask() = default;

  /// Applies a configuration. Until the first one, requests are refused with
  /// NotReady.
  virtual void configure(const Configuration &Config) = 0;

  /// Takes a request. \p Done is called exactly once, on the executor, and not
  /// from inside the call.
  virtual void submit(SubmittedRequest Request, AnswerCallback Done) = 0;

  /// Cancels a request; its callback gets Cancelled or CancelledRunning.
  /// \returns false if there is no such request.
  virtual bool cancel(const RequestId &Id, CancelReason Reason) = 0;

  /// Adds a worker or replaces its view.
  virtual void updateWorker(const WorkerCapacity &View) = 0;
  virtual void removeWorker(const WorkerId &Id) = 0;

  /// Stops admission, hands queued requests to peers and finishes the others.
  /// \param Idle called once when no request is left.
  virtual void shutdown(std::function<void()> Idle) = 0;

  /// Sets the share of the data centre's slots, without the urgent reserve,
  /// that this host fills with work that is not urgent. Default 1, for a host
  /// that is alone.
  virtual void setSlotShare(double Share) = 0;
  /// True if requests wait because the share is used up.
  virtual bool isShareBinding() const = 0;

  /// Time that a new request waits, for the load report to other data centres.
  virtual absl::Duration queueDelay() const = 0;
  virtual size_t queuedCount() const = 0;
  /// Requests that are not answered or have work to finish.
  virtual size_t liveCount() const = 0;
  virtual const RequestCounters &counters() const = 0;
};

/// Makes a RequestTask. The ports must outlive it.
class RequestTask::Builder {
public:
  Builder(Executor &Exec, Store &Backend, WorkerClient &Workers)
      : Exec(Exec), Backend(Backend), Workers(Workers) {}

  /// Required.
  Builder &host(HostId Value);
  /// Required: data centre of this host.
  Builder &dataCentre(DataCentreId Value);
  /// Default: none, and nothing is forwarded.
  Builder &forwarder(RequestForwarder *Value);
  /// Seed of random choices; differs between hosts. Default 1.
  Builder &seed(uint64_t Value);
  /// Time after which a call of the store counts as failed. Default 1 s.
  Builder &storeTimeout(absl::Duration Value);
  /// Whether urgent repeatable requests are hedged. Default true.
  Builder &hedging(bool Value);
  Builder &queueOrder(QueueOrder Value);
  Builder &workerChoice(WorkerChoice Value);
  Builder &concurrencyControl(ConcurrencyControl Value);
  Builder &retryControl(RetryControl Value);
  Builder &healthControl(HealthControl Value);
  Builder &dataCentreChoice(DataCentreChoice Value);

  /// Error: InvalidRequest if a required parameter is missing.
  absl::StatusOr<std::unique_ptr<RequestTask>> build() const;

  Executor &Exec;
  Store &Backend;
  WorkerClient &Workers;
  HostId Host;
  DataCentreId DataCentre;
  RequestForwarder *Forwarder = nullptr;
  uint64_t Seed = 1;
  absl::Duration StoreTimeout = absl::Seconds(1);
  bool Hedging = true;
  QueueOrder Order = QueueOrder::WeightedFair;
  WorkerChoice Worker = WorkerChoice::PowerOfTwo;
  ConcurrencyControl Concurrency = ConcurrencyControl::Adaptive;
  RetryControl Retries = RetryControl::Budget;
  HealthControl Health = HealthControl::Ejection;
  DataCentreChoice Routing = DataCentreChoice::SpillOver;
};

} // namespace vanillayard

#endif
