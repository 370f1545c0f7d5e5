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

/// Workers in memory, on the executor's clock, with their registrations.
///
/// Keeps to the platform's contract: fencing tokens, run numbers, leases,
/// capacity, gangs that end together, and lists of ends.
class FakeWorkerFarm final : public WorkerGateway, public WorkerDirectory {
public:
  enum class Fault {
    None,
    /// Nothing reaches the worker; the caller is told that nothing was sent.
    Unreachable,
    /// Carried out, but the answer is lost.
    LoseAnswer,
    /// No answer; carried out LateBy later.
    ApplyLate,
    /// No answer, and never carried out.
    Drop,
  };
  /// One run that has begun, for the test's own checks.
  struct Begun {
    TaskKey Task;
    int64_t Run;
    WorkerId Worker;
    absl::Time At;
    std::string Checkpoint;
  };
  /// One run that has ended.
  struct Over {
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

  absl::Duration Latency = absl::Milliseconds(2);
  absl::Duration LateBy = absl::Seconds(2);
  absl::Duration MaxLease = absl::Seconds(6);
  absl::Duration StopTime = absl::Milliseconds(200);
  /// How long ago the registrations were written.
  absl::Duration RegistrationAge = absl::ZeroDuration();
  /// Chooses the fault of each order: renew, start or stop.
  std::function<Fault(const std::string &Call, const WorkerId &Worker)> Faults;
  /// Run time of a task; its outcome is Done unless Outcomes says otherwise.
  std::function<absl::Duration(const TaskKey &Task)> Durations;
  std::function<RunOutcome(const TaskKey &Task, const WorkerId &Worker)>
      Outcomes;
  /// Need of a task, for the capacity check; set for each job by the test.
  std::function<Resources(const TaskKey &Task)> Needs;
  /// Members of the task's gang; 1 for a task without a gang.
  std::function<int(const TaskKey &Task)> GangSizes;

  std::vector<Begun> BegunRuns;
  std::vector<Over> EndedRuns;
  /// Starts that brought a worker over its capacity.
  int Overcommitted = 0;
  std::map<std::string, int> Calls;

  void add(const WorkerEntry &Entry);
  void setDraining(const WorkerId &Id, bool IsDraining);
  /// The worker crashes and comes back at once: it holds and knows nothing.
  void restart(const WorkerId &Id);
  /// Removes the registration only, or puts it back.
  void setRegistered(const WorkerId &Id, bool IsRegistered);
  /// Runs on all workers.
  size_t runningCount() const;
  std::vector<TaskKey> runningTasks() const;
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
    WorkerEntry Entry;
    bool IsRegistered = true;
    int64_t Fence = 0;
    absl::Time BornAt;
    absl::Time LeaseEnds;
    std::map<TaskKey, Run> Runs;
    /// Highest run that was stopped or has ended, by task.
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
               absl::Duration Timeout, std::function<Work()> Carry,
               std::function<void(OrderAnswer)> Fail);
  void forgetEnds(const Worker &W);
  void endRun(Worker &W, const TaskKey &Task, RunOutcome Outcome);
  void scheduleEnd(const WorkerId &Id, const TaskKey &Task, int64_t Number,
                   absl::Duration After, RunOutcome Outcome);
  void beginGangIfComplete(const TaskKey &Task, int64_t Number);
  void endGang(const TaskKey &Task, int64_t Number, RunOutcome Outcome);
  void extendLease(Worker &W, absl::Duration LeaseUntil);
  void watchLease(const WorkerId &Id);
  void answerPolls(Worker &W);
  WorkerReport report(const Worker &W) const;
  absl::Duration clock(const Worker &W) const {
    return this->Exec.now() - W.BornAt;
  }

  Executor &Exec;
  std::map<WorkerId, Worker> Workers;
  uint64_t NextPoll = 1;
};

} // namespace vanillayard

#endif
