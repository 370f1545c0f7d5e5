#include "FailureLedger.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace vanillayard {

/// Number of observations after which a worker rests.
static constexpr int ObservationsBeforeRest = 2;
/// Number of failed runs, also of one job, after which a worker is on
/// probation.
static constexpr int FailedRunsBeforeProbation = 2;
/// Rest after ObservationsBeforeRest observations; doubled with each further
/// one.
static constexpr absl::Duration InitialRest = absl::Seconds(2);
static constexpr absl::Duration MaxRest = absl::Seconds(30);
/// Largest share of a pool's workers that is taken for faulty at one time. With
/// the largest share of the headroom for urgent work, half of the pool stays
/// available, which the platform expects to be in use while jobs wait.
static constexpr double MaxFaultyShare = 0.25;

/// Largest number of workers of a pool that are taken for faulty at one time. A
/// small pool has one, as long as another worker is left.
static int maxFaulty(size_t PoolSize) {
  if (PoolSize < 2)
    return 0;
  return std::max(
      1, static_cast<int>(MaxFaultyShare * static_cast<double>(PoolSize)));
}

void FailureLedger::runFailed(const WorkerId &Worker, const JobId &Job,
                              absl::Time StartedAt, bool HasJobCompletedTasks,
                              absl::Time Now) {
  JobFailures &Failures = this->Workers[Worker][Job];
  ++Failures.Runs;
  Failures.HasCompletedTasks |= HasJobCompletedTasks;
  if (StartedAt < Failures.ObservedAt)
    return;
  ++Failures.Observations;
  Failures.ObservedAt = Now;
}

void FailureLedger::runDone(const WorkerId &Worker, const JobId &Job) {
  this->Workers.erase(Worker);
  for (auto &[Id, Failures] : this->Workers)
    if (auto Found = Failures.find(Job); Found != Failures.end())
      Found->second.HasCompletedTasks = true;
}

void FailureLedger::forgetWorker(const WorkerId &Worker) {
  this->Workers.erase(Worker);
}

FailureLedger::Evidence
FailureLedger::evidenceAgainst(const FailuresByJob &Failures,
                               const std::map<JobId, int> &WorkersByJob,
                               int MaxFaulty) const {
  Evidence Sum;
  for (const auto &[Job, Found] : Failures) {
    bool IsJobAtFault =
        !Found.HasCompletedTasks && WorkersByJob.at(Job) > MaxFaulty;
    if (IsJobAtFault)
      continue;
    Sum.Runs += Found.Runs;
    Sum.Observations += Found.Observations;
    Sum.ObservedAt = std::max(Sum.ObservedAt, Found.ObservedAt);
  }
  return Sum;
}

std::map<WorkerId, RunLimit>
FailureLedger::limits(const std::vector<WorkerId> &Pool, absl::Time Now) const {
  std::map<WorkerId, RunLimit> Limits;
  if (this->isEmpty())
    return Limits;
  std::map<JobId, int> WorkersByJob;
  for (const auto &[Worker, Failures] : this->Workers)
    for (const auto &[Job, Found] : Failures)
      ++WorkersByJob[Job];
  int MaxFaulty = maxFaulty(Pool.size());
  std::vector<std::pair<Evidence, WorkerId>> Suspects;
  for (const WorkerId &Worker : Pool) {
    auto Found = this->Workers.find(Worker);
    if (Found == this->Workers.end())
      continue;
    Evidence Sum =
        this->evidenceAgainst(Found->second, WorkersByJob, MaxFaulty);
    if (Sum.Runs >= FailedRunsBeforeProbation)
      Suspects.emplace_back(Sum, Worker);
  }
  std::sort(Suspects.begin(), Suspects.end(), [](const auto &A, const auto &B) {
    return std::make_tuple(-A.first.Observations, -A.first.Runs, A.second) <
           std::make_tuple(-B.first.Observations, -B.first.Runs, B.second);
  });
  if (Suspects.size() > static_cast<size_t>(MaxFaulty))
    Suspects.resize(static_cast<size_t>(MaxFaulty));
  for (const auto &[Sum, Worker] : Suspects) {
    int Beyond = Sum.Observations - ObservationsBeforeRest;
    absl::Duration Rest =
        Beyond < 0
            ? absl::ZeroDuration()
            : std::min(MaxRest, InitialRest * std::exp2(std::min(Beyond, 10)));
    Limits[Worker] =
        Sum.ObservedAt + Rest > Now ? RunLimit::None : RunLimit::One;
  }
  return Limits;
}

} // namespace vanillayard
