#ifndef VANILLAYARD_REQUESTS_TESTS_FAKEWORKERS_H
#define VANILLAYARD_REQUESTS_TESTS_FAKEWORKERS_H

#include "base/Executor.h"
#include "endpoint/WorkerClient.h"
#include "requests/WorkerCapacity.h"

#include <deque>
#include <map>
#include <memory>
#include <random>

namespace vanillayard {

/// One simulated worker, which counts the tasks that it starts.
struct FakeWorker {
  struct Lease {
    std::string Owner;
    std::string Body;
    LeaseState State = LeaseState::Held;
    absl::Time Expires;
    /// Callbacks that run when the task ends.
    std::vector<std::function<void()>> OnEnd;
  };

  std::string Name;
  int Slots = 2;
  /// Every task fails after 1 ms.
  bool FailEverything = false;
  /// Refuses connections, so calls have no effect.
  bool Down = false;
  /// Accepts calls and defers them until it is resumed.
  bool Paused = false;
  std::deque<std::function<void()>> HeldCalls;
  std::map<LeaseId, Lease> Leases;
  int Started = 0;

  int freeSlots() const;
};

/// All simulated workers and the network to them, with fault injection.
class FakeWorkers {
public:
  struct Faults {
    absl::Duration RunTime = absl::Milliseconds(20);
    /// Run times are uniformly distributed over RunTime * (1 +- RunTimeSpread).
    /// With equal run times, all slots would become free at the same time.
    double RunTimeSpread = 0;
    /// Probability that a call reaches the worker 1 to 4 s late.
    double LateCall = 0;
    /// Probability that an answer is lost.
    double LoseAnswer = 0;
    /// Probability that a worker returns the answer of another lease.
    double AnswerForOtherLease = 0;
    /// Probability that an answer is truncated.
    double TruncateAnswer = 0;
  };

  FakeWorkers(Executor &VirtualExec, int Count, uint64_t Seed);

  FakeWorker &at(size_t Index) { return *this->Workers[Index]; }
  FakeWorker &at(const Endpoint &Address);
  size_t size() const { return this->Workers.size(); }
  WorkerCapacity view(size_t Index) const;
  bool chance(double Probability);
  void resume(size_t Index);
  /// Restarts a worker: it loses its leases, and running tasks end without a
  /// result.
  void restart(size_t Index) { this->at(Index).Leases.clear(); }
  void start(FakeWorker &Worker, const LeaseId &Id, const std::string &Body);

  Executor &VirtualExec;
  Faults Fault;
  std::mt19937_64 Random;
  /// Number of started tasks by owner (submission id) and by body.
  std::map<std::string, int> ExecutionsByOwner;
  std::map<std::string, int> ExecutionsByBody;

private:
  std::vector<std::unique_ptr<FakeWorker>> Workers;
};

/// One host's connections to the workers.
class FakeWorkerClient final : public WorkerClient {
public:
  FakeWorkerClient(FakeWorkers &Fleet, Executor &HostExec)
      : Fleet(Fleet), HostExec(HostExec) {}

  void status(const Endpoint &Worker, Callback<WorkerStatus> Done) override;
  void acquire(const Endpoint &Worker, const LeaseRequest &Request,
               Callback<LeaseReport> Done) override;
  void renew(const Endpoint &Worker, const std::vector<LeaseId> &Leases,
             const Epoch &Holder, absl::Duration Ttl,
             Callback<RenewResult> Done) override;
  void start(const Endpoint &Worker, const LeaseId &Lease, const Epoch &Holder,
             std::string Body, Callback<LeaseReport> Done) override;
  void startAndWait(const Endpoint &Worker, const LeaseId &Lease,
                    const Epoch &Holder, std::string Body,
                    absl::Duration Timeout, Callback<TaskResult> Done) override;
  void run(const Endpoint &Worker, const LeaseRequest &Request,
           std::string Body, absl::Duration Timeout,
           Callback<TaskResult> Done) override;
  void query(const Endpoint &Worker, const LeaseId &Lease,
             Callback<TaskResult> Done) override;
  void revoke(const Endpoint &Worker, const LeaseId &Lease,
              Callback<RevokeResult> Done) override;
  void stop(const Endpoint &Worker, const LeaseId &Lease, const Epoch &Holder,
            Callback<LeaseReport> Done) override;
  void checkpoint(const Endpoint &Worker, const LeaseId &Lease,
                  const Epoch &Holder, Callback<LeaseReport> Done) override;
  void throttle(const Endpoint &Worker, const LeaseId &Lease,
                const Epoch &Holder, double Share,
                Callback<LeaseReport> Done) override;
  void release(const Endpoint &Worker, const LeaseId &Lease,
               Callback<LeaseReport> Done) override;

private:
  template <typename T>
  using ReplyCallback = std::function<void(absl::StatusOr<T>)>;
  template <typename T>
  void call(const Endpoint &Address, absl::Duration Timeout, Callback<T> Done,
            std::function<void(FakeWorker &, ReplyCallback<T>)> Effect);
  void answerWhenEnded(FakeWorker &Worker, const LeaseId &Lease,
                       const ReplyCallback<TaskResult> &Answer);

  FakeWorkers &Fleet;
  Executor &HostExec;
};

} // namespace vanillayard

#endif
