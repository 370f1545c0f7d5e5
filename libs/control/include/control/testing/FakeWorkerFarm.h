#ifndef VANILLAYARD_CONTROL_TESTING_FAKEWORKERFARM_H
#define VANILLAYARD_CONTROL_TESTING_FAKEWORKERFARM_H

#include "base/Executor.h"
#include "control/WorkerDirectory.h"
#include "control/WorkerGateway.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace vanillayard {

/// In-memory workers and their registrations for tests, on the executor's
/// clock.
///
/// Follows the platform's contract: fencing tokens, run numbers, leases,
/// capacity, gangs that end together, and lists of ends.
class FakeWorkerFarm final : public WorkerGateway, public WorkerDirectory {
public:
  enum class Fault {
    None,
    /// Nothing reaches the worker; the caller is told that nothing was sent.
    Unreachable,
    /// Applied, but the answer is lost.
    LoseAnswer,
    /// No answer; applied LateBy later.
    ApplyLate,
    /// No answer, and never applied.
    Drop,
    /// Arrives LateBy later, at the incarnation that the worker has then, which
    /// applies and answers it.
    Delay,
    /// Applied at once; the answer arrives LateBy later, also if the worker has
    /// restarted meanwhile. For start and stop only.
    DelayAnswer,
  };
  /// A run that a worker has started, recorded for the test's checks.
  struct StartedRun {
    TaskKey Task;
    int64_t Run;
    WorkerId Worker;
    absl::Time At;
    std::string Checkpoint;
  };
  /// A run that has ended.
  struct EndedRun {
    TaskKey Task;
    int64_t Run;
    WorkerId Worker;
    RunOutcome Outcome;
    absl::Time At;
    /// The worker crashed or its lease expired before the end was
    /// acknowledged, so the end does not count.
    bool IsForgotten = false;
  };

  explicit FakeWorkerFarm(Executor &Exec) : Exec(Exec) {}

  /// Time from a call to its answer.
  absl::Duration Latency = absl::Milliseconds(2);
  absl::Duration LateBy = absl::Seconds(2);
  /// Longest time from now for which a worker's lease is extended.
  absl::Duration MaxLease = absl::Seconds(6);
  /// Time from a stop order to the end of the run.
  absl::Duration StopTime = absl::Milliseconds(200);
  /// Rate of the workers' clocks.
  double ClockRate = 1;
  /// How long ago the registrations were written.
  absl::Duration RegistrationAge = absl::ZeroDuration();
  /// Whether fetch() answers; otherwise it fails as in an outage of the store.
  bool AreRegistrationsReadable = true;
  /// Changes the registrations that fetch() returns, as another writer could.
  std::function<void(std::vector<WorkerRegistration> &)> ChangeRegistrations;
  /// Chooses the fault of each call, by its name: renew, start or stop.
  std::function<Fault(const std::string &Call, const WorkerId &Worker)> Faults;
  /// Run time of a task; 1 s if not set. The outcome is Done unless Outcomes is
  /// set.
  std::function<absl::Duration(const TaskKey &Task)> Durations;
  std::function<RunOutcome(const TaskKey &Task, const WorkerId &Worker)>
      Outcomes;
  /// Resources that a task needs, for the capacity check; none if not set.
  std::function<Resources(const TaskKey &Task)> Needs;
  /// Members of the task's gang; 1 for a task without a gang.
  std::function<int(const TaskKey &Task)> GangSizes;

  std::vector<StartedRun> StartedRuns;
  std::vector<EndedRun> EndedRuns;
  /// Starts that a worker refused because they exceed its capacity.
  int CapacityRefusals = 0;
  /// Number of calls, by the names that Faults gets.
  std::map<std::string, int> Calls;

  void addWorker(const WorkerRegistration &Registration);
  void setDraining(const WorkerId &Id, bool IsDraining);
  /// The worker crashes and restarts at once: its runs and its state are lost.
  void restart(const WorkerId &Id);
  /// The renewals that wait at the worker get no answer; their callers give
  /// them up 1 s later.
  void loseWaitingRenewals(const WorkerId &Id);
  /// Removes or restores the registration; the worker itself keeps running.
  void setRegistered(const WorkerId &Id, bool IsRegistered);
  /// Number of active runs on all workers.
  size_t runningCount() const;
  std::vector<TaskKey> runningTasks() const;
  /// Highest acknowledged sequence number in the worker's list of ends.
  int64_t acknowledgedEnd(const WorkerId &Id) const;

  void renew(const WorkerTarget &Target, const Renewal &Request,
             absl::Duration Timeout, RenewCallback Done) override;
  void start(const WorkerTarget &Target, const StartOrder &Order, int64_t Fence,
             absl::Duration LeaseUntil, absl::Duration Timeout,
             OrderCallback Done) override;
  void stop(const WorkerTarget &Target, const StopOrder &Order, int64_t Fence,
            absl::Duration Timeout, OrderCallback Done) override;
  void fetch(Callback Done) override;

private:
  struct Run {
    int64_t Number = 0;
  };
  struct Worker {
    WorkerRegistration Registration;
    bool IsRegistered = true;
    int64_t Fence = 0;
    absl::Time StartedAt;
    absl::Time LeaseEnds;
    std::map<TaskKey, Run> Runs;
    /// Highest run number that was stopped or has ended, by task: a start of
    /// this run or an earlier one is refused.
    std::map<TaskKey, int64_t> Refused;
    std::vector<RunEnd> Ends;
    int64_t NextEnd = 1;
    int64_t Acknowledged = 0;
    struct Poll {
      RenewCallback Done;
      uint64_t Id;
    };
    std::vector<Poll> Polls;
  };
  using Work = std::function<void()>;

  void deliver(const std::string &Call, const WorkerId &Id,
               absl::Duration Timeout, std::function<Work()> Apply,
               std::function<void(OrderAnswer)> Fail);
  void forgetEnds(const Worker &W);
  void endRun(Worker &W, const TaskKey &Task, RunOutcome Outcome);
  void scheduleEnd(const WorkerId &Id, const TaskKey &Task, int64_t Number,
                   absl::Duration After, RunOutcome Outcome);
  void startGangIfComplete(const TaskKey &Task, int64_t Number);
  void endGang(const TaskKey &Task, int64_t Number, RunOutcome Outcome);
  void extendLease(Worker &W, absl::Duration LeaseUntil);
  void scheduleLeaseExpiry(const WorkerId &Id);
  void answerPolls(Worker &W);
  WorkerReport report(const Worker &W) const;
  /// Reading of the worker's clock, in whole milliseconds.
  absl::Duration clock(const Worker &W) const {
    return absl::Floor((this->Exec.now() - W.StartedAt) * this->ClockRate,
                       absl::Milliseconds(1));
  }

  Executor &Exec;
  std::map<WorkerId, Worker> Workers;
  uint64_t NextPoll = 1;
};

} // namespace vanillayard

#endif
