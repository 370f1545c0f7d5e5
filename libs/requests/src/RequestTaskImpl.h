#ifndef VANILLAYARD_REQUESTS_REQUESTTASKIMPL_H
#define VANILLAYARD_REQUESTS_REQUESTTASKIMPL_H

#include "AtMostOnceRunner.h"
#include "RepeatableRunner.h"
#include "RunTimes.h"
#include "RunnerContext.h"
#include "policy/RetryPolicy.h"
#include "requests/RequestForwarder.h"
#include "requests/RequestTask.h"

#include "absl/container/flat_hash_map.h"

#include <deque>

namespace vanillayard {

/// Admits, queues and dispatches requests, and implements RunnerContext for the
/// two runners.
class RequestTaskImpl final : public RequestTask, private RunnerContext {
public:
  explicit RequestTaskImpl(const RequestTask::Builder &B);
  ~RequestTaskImpl() override;

  void setConfiguration(const Configuration &Config) override;
  void submit(SubmittedRequest Request, AnswerCallback Done) override;
  bool cancel(const RequestId &Id, CancelReason Reason) override;
  void updateWorker(const WorkerCapacity &View) override;
  void removeWorker(const WorkerId &Id) override;
  void shutdown(std::function<void()> Callback) override;
  absl::Duration queueDelay() const override;
  size_t queuedCount() const override { return this->Queue->size(); }
  size_t unfinishedCount() const override { return this->Requests.size(); }
  const RequestCounters &counters() const override { return this->Counters; }

private:
  Executor &executor() override { return this->Options.Exec; }
  WorkerClient &workerClient() override { return this->Options.Workers; }
  WorkerTable &workerTable() override { return this->Table; }
  const HostId &hostId() const override { return this->Options.Host; }
  void answerCaller(LiveRequest &R,
                    absl::StatusOr<RequestAnswer> Result) override;
  void setSlotShare(double Share) override;
  bool isShareBinding() const override;
  void endOperation(LiveRequest &R) override;
  void requeue(LiveRequest &R) override;
  bool scheduleRetry(LiveRequest &R, bool NotRun) override;
  bool takeHedgeFromBudget(LiveRequest &R) override;
  void recordSuccess(LiveRequest &R, absl::Duration RunTime) override;
  absl::Duration hedgeDelay(const LiveRequest &R) override;

  /// \returns an error if the request must not be admitted.
  absl::Status checkAdmission(const SubmittedRequest &Request) const;
  absl::Status checkIdempotencyKey(const LiveRequest &R) const;
  QueueItem queueItemFor(const LiveRequest &R) const;
  void admit(const LivePtr &R);
  bool forwardIfBetter(const LivePtr &R);
  void forward(const LivePtr &R, const DataCentreId &Target);
  void onForwarded(const LivePtr &R, absl::StatusOr<RequestAnswer> Result);
  /// Forwards a waiting request to another host of this data centre, because
  /// this host is shutting down.
  void handOver(const LivePtr &R);
  void handOverBatch();
  void startDeadlineTimer(const LivePtr &R);
  void onDeadline(LiveRequest &R);
  void removeRequest(LiveRequest &R);
  /// Posts one call of dispatch() to the executor unless one is pending.
  void scheduleDispatch();
  void dispatch();
  bool isTooLate(const LiveRequest &R);
  LivePtr nextRequest(bool UrgentOnly);
  LivePtr nextRequeued(std::deque<uint64_t> &From);
  void startOnWorker(const LivePtr &R, const WorkerTable::Reservation &Slot);
  void scheduleTick(absl::Duration Delay);
  void tick();
  bool isUrgent(const KindOfWorkId &Kind) const;
  bool isUrgentOnly() const;
  bool isUrgentWaiting() const;
  void reportIfIdle();

  RequestTask::Builder Options;
  bool Configured = false;
  QueueSettings Settings;
  double UrgentReserve = 0;
  double SlotShare = 1;
  int64_t TooLateCount = 0;
  bool SpillOver = true;
  std::unique_ptr<AdmissionQueue> Queue;
  std::unique_ptr<RetryPolicy> Retry;
  std::unique_ptr<DataCentreSelector> Routing;
  WorkerTable Table;
  RunTimes KindRunTimes;
  RequestCounters Counters;
  uint64_t NextToken = 1;
  absl::flat_hash_map<uint64_t, LivePtr> Requests;
  absl::flat_hash_map<RequestId, uint64_t> TokensById;
  /// Token of this host's unanswered request for each claim key.
  absl::flat_hash_map<std::string, uint64_t> TokensByClaimKey;
  /// Tokens (keys of Requests) of the requests that were put back and are
  /// dispatched before those in Queue. Urgent and other ones are kept apart.
  std::deque<uint64_t> RequeuedUrgent;
  std::deque<uint64_t> RequeuedOther;
  bool DispatchScheduled = false;
  bool TickScheduled = false;
  bool ShuttingDown = false;
  std::function<void()> OnIdle;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  ClaimStore Claims;
  RepeatableRunner RepeatableRequests;
  AtMostOnceRunner AtMostOnceRequests;
};

} // namespace vanillayard

#endif
