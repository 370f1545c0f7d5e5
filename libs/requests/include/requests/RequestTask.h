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
  /// The caller closed its connection. A running non-repeatable request is not
  /// stopped, so that a retry gets its answer.
  Disconnected,
  /// The caller asked for the cancellation; a running task is stopped.
  Requested,
};

/// Runs the short requests of one entry host: admission, queueing, dispatch to
/// workers, claims, retries, forwarding and graceful shutdown.
///
/// All calls must be made on the executor. Destroying a RequestTask drops its
/// requests without answering them.
class RequestTask {
public:
  class Builder;

  virtual ~RequestTask() = default;

  /// Applies a configuration. Before the first call, requests are refused with
  /// NotReady.
  virtual void setConfiguration(const Configuration &Config) = 0;

  /// Submits a request. \p Done is called exactly once, on the executor, and
  /// never from inside the call.
  virtual void submit(SubmittedRequest Request, AnswerCallback Done) = 0;

  /// Cancels a request. Its callback gets Cancelled if the request did not and
  /// will not run, otherwise CancelledRunning.
  /// \returns false if there is no unanswered request with this id.
  virtual bool cancel(const RequestId &Id, CancelReason Reason) = 0;

  /// Adds a worker or replaces the last view of it.
  virtual void updateWorker(const WorkerCapacity &View) = 0;
  virtual void removeWorker(const WorkerId &Id) = 0;

  /// Stops admission, forwards waiting requests to other hosts and finishes the
  /// running ones.
  /// \param OnIdle called once when no request is left.
  virtual void shutdown(std::function<void()> OnIdle) = 0;

  /// Sets the share (0 to 1) of the data centre's slots outside the urgent
  /// reserve that this host may fill with work that is not urgent. Default 1,
  /// for the only host of a data centre.
  virtual void setSlotShare(double Share) = 0;
  /// Returns true if requests are queued and this host's slot share is used up.
  virtual bool isShareBinding() const = 0;

  /// Longest expected queueing delay of the kinds that are not deferrable;
  /// reported to the other data centres.
  virtual absl::Duration queueDelay() const = 0;
  virtual size_t queuedCount() const = 0;
  /// Number of requests that are unanswered or have pending operations.
  virtual size_t unfinishedCount() const = 0;
  virtual const RequestCounters &counters() const = 0;
};

/// Builds a RequestTask. The executor, the store, the workers' client and the
/// forwarder must outlive it.
class RequestTask::Builder {
public:
  Builder(Executor &Exec, Store &Backend, WorkerClient &Workers)
      : Exec(Exec), Backend(Backend), Workers(Workers) {}

  /// Required: id of this host.
  Builder &host(HostId Value);
  /// Required: data centre of this host.
  Builder &dataCentre(DataCentreId Value);
  /// Default: none; no request is forwarded.
  Builder &forwarder(RequestForwarder *Value);
  /// Seed of random choices; must differ between hosts. Default 1.
  Builder &seed(uint64_t Value);
  /// Timeout of a call to the store. Default 1 s.
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
  WorkerChoice WorkerSelection = WorkerChoice::PowerOfTwo;
  ConcurrencyControl Concurrency = ConcurrencyControl::Adaptive;
  RetryControl Retries = RetryControl::Budget;
  HealthControl Health = HealthControl::Ejection;
  DataCentreChoice Routing = DataCentreChoice::SpillOver;
};

} // namespace vanillayard

#endif
