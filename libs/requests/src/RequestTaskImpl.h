#ifndef VANILLAYARD_REQUESTS_REQUESTTASKIMPL_H
#define VANILLAYARD_REQUESTS_REQUESTTASKIMPL_H

#include "ClaimedRunner.h"
#include "RepeatableRunner.h"
#include "RunTimes.h"
#include "RunnerHost.h"
#include "policy/RetryPolicy.h"
#include "requests/RequestForwarder.h"
#include "requests/RequestTask.h"

#include "absl/container/flat_hash_map.h"

#include <deque>

namespace vanillayard {

class RequestTaskImpl final : public RequestTask, private RunnerHost {
public:
  explicit RequestTaskImpl(const RequestTask::Builder &B);
  ~RequestTaskImpl() override;

  void configure(const Configuration &Config) override;
  void submit(SubmittedRequest Request, AnswerCallback Done) override;
  bool cancel(const RequestId &Id, CancelReason Reason) override;
  void updateWorker(const WorkerCapacity &View) override;
  void removeWorker(const WorkerId &Id) override;
  void shutdown(std::function<void()> Idle) override;
  absl::Duration queueDelay() const override;
  size_t queuedCount() const override { return this->Queue->size(); }
  size_t liveCount() const override { return this->Live.size(); }
  const RequestCounters &counters() const override { return this->Counters; }

private:
  Executor &executor() override { return this->Config.Exec; }
  WorkerClient &workers() override { return this->Config.Workers; }
  WorkerTable &table() override { return this->Table; }
  const HostId &hostId() const override { return this->Config.Host; }
  void finish(LiveRequest &R, absl::StatusOr<RequestAnswer> Result) override;
  void setSlotShare(double Share) override;
  bool isShareBinding() const override;
  void endStep(LiveRequest &R) override;
  void requeue(LiveRequest &R) override;
  bool retry(LiveRequest &R, bool NotRun) override;
  bool takeHedge(LiveRequest &R) override;
  void noteSuccess(LiveRequest &R, absl::Duration RunTime) override;
  absl::Duration hedgeDelay(const LiveRequest &R) override;

  /// \returns an error if the request must not be admitted.
  absl::Status check(const SubmittedRequest &Request) const;
  absl::Status checkKey(const LiveRequest &R) const;
  QueueItem itemFor(const LiveRequest &R) const;
  void admit(const LivePtr &R);
  bool forwardIfBetter(const LivePtr &R);
  void forward(const LivePtr &R, const DataCentreId &Target);
  void onForwarded(const LivePtr &R, absl::StatusOr<RequestAnswer> Result);
  /// Sends a waiting request to a peer before this host stops.
  void handOver(const LivePtr &R);
  void handOverSome();
  void watch(const LivePtr &R);
  void onDeadline(LiveRequest &R);
  void forget(LiveRequest &R);
  /// Runs dispatch() once after the current piece of work.
  void scheduleDispatch();
  void dispatch();
  bool isTooLate(const LiveRequest &R);
  LivePtr nextRequest(bool UrgentOnly);
  LivePtr nextReturned(std::deque<uint64_t> &From);
  void startOn(const LivePtr &R, const WorkerTable::Reservation &Place);
  void scheduleTick(absl::Duration Delay);
  void tick();
  bool isUrgent(const KindId &Kind) const;
  bool isUrgentOnly() const;
  bool isUrgentWaiting() const;
  void checkIdle();

  RequestTask::Builder Config;
  bool Configured = false;
  QueueSettings Settings;
  double UrgentReserve = 0;
  double HostShare = 1;
  int64_t TooLate = 0;
  bool SpillOver = true;
  std::unique_ptr<AdmissionQueue> Queue;
  std::unique_ptr<RetryPolicy> Retry;
  std::unique_ptr<DataCentreSelector> Routing;
  WorkerTable Table;
  RunTimes Times;
  RequestCounters Counters;
  uint64_t NextToken = 1;
  absl::flat_hash_map<uint64_t, LivePtr> Live;
  absl::flat_hash_map<RequestId, uint64_t> Tokens;
  /// Unanswered request of a claim on this host.
  absl::flat_hash_map<std::string, uint64_t> Keys;
  /// Requests that go before the queue, by urgency.
  std::deque<uint64_t> ReturnedUrgent;
  std::deque<uint64_t> ReturnedOther;
  bool DispatchScheduled = false;
  bool TickScheduled = false;
  bool ShuttingDown = false;
  std::function<void()> Idle;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  ClaimStore Claims;
  RepeatableRunner Repeatable;
  ClaimedRunner Claimed;
};

} // namespace vanillayard

#endif
