#include "policy/WorkerHealth.h"

#include <algorithm>
#include <vector>

namespace vanillayard {

static constexpr int MaxConsecutiveFailures = 3;
// Weight of one outcome in the moving average of successes.
static constexpr double OutcomeWeight = 0.1;
// A worker whose share of successes falls below this is ejected.
static constexpr double MinSuccessShare = 0.5;
// After this many failures without a success, a worker is not healthy, and its
// failures are no longer attributed to the requests. Otherwise two workers that
// fail every request would each cancel the failures of the other.
static constexpr int MaxFailuresOfHealthyWorker = 5;
static constexpr absl::Duration BaseEjectionTime = absl::Seconds(1);
static constexpr int MaxEjectionDoublings = 6;
// Each time a worker stays healthy for this long, it has one recent ejection
// less. Until then, a new ejection lasts longer than the one before.
static constexpr absl::Duration EjectionDecayInterval = absl::Minutes(1);
// A success at this allowance ends the ramp-up after an ejection.
static constexpr int RampUpEndAllowance = 64;

/// Baseline: never ejects a worker.
class NoEjection final : public WorkerHealth {
public:
  void add(size_t /*Worker*/) override {}
  void remove(size_t /*Worker*/) override {}
  int allowance(size_t /*Worker*/, absl::Time /*Now*/) override {
    return Unrestricted;
  }
  void onSuccess(size_t /*Worker*/, absl::Time /*Now*/) override {}
  void onFailure(size_t /*Worker*/, std::span<const size_t> /*FailedBefore*/,
                 absl::Time /*Now*/) override {}
  size_t ejectedCount() const override { return 0; }
};

/// Ejects workers after consecutive failures or a low share of successes, for a
/// time that doubles with every recent ejection.
class EjectingWorkerHealth final : public WorkerHealth {
public:
  void add(size_t Worker) override {
    if (this->Workers.size() <= Worker)
      this->Workers.resize(Worker + 1);
    this->remove(Worker);
    this->Workers[Worker].Present = true;
    ++this->PresentCount;
  }

  void remove(size_t Worker) override {
    State &Old = this->Workers[Worker];
    if (Old.Present)
      --this->PresentCount;
    if (Old.Ejected)
      --this->EjectedWorkers;
    Old = State();
  }

  int allowance(size_t Worker, absl::Time Now) override {
    State &W = this->Workers[Worker];
    if (W.Ejected && Now >= W.EjectedUntil) {
      W.Ejected = false;
      --this->EjectedWorkers;
      W.Allowance = 1;
    }
    return W.Ejected ? 0 : W.Allowance;
  }

  void onSuccess(size_t Worker, absl::Time Now) override {
    State &W = this->Workers[Worker];
    W.ConsecutiveFailures = 0;
    W.FailuresSinceSuccess = 0;
    W.SuccessShare += OutcomeWeight * (1 - W.SuccessShare);
    // The request was sent before the ejection, so its success does not end it.
    if (W.Ejected)
      return;
    if (W.Allowance < RampUpEndAllowance)
      W.Allowance *= 2;
    else
      W.Allowance = Unrestricted;
    if (W.RecentEjections > 0 &&
        Now - W.EjectedUntil >= EjectionDecayInterval) {
      --W.RecentEjections;
      W.EjectedUntil = Now;
    }
  }

  void onFailure(size_t Worker, std::span<const size_t> FailedBefore,
                 absl::Time Now) override {
    State &W = this->Workers[Worker];
    bool IsHealthy = ++W.FailuresSinceSuccess < MaxFailuresOfHealthyWorker &&
                     W.Allowance == Unrestricted;
    if (IsHealthy && !FailedBefore.empty()) {
      for (size_t Earlier : FailedBefore)
        this->revertFailure(Earlier);
      return;
    }
    ++W.ConsecutiveFailures;
    W.SuccessShare -= OutcomeWeight * W.SuccessShare;
    // During the ramp-up after an ejection, one failure ejects the worker
    // again.
    bool IsRecovering = W.Allowance < Unrestricted;
    if (W.ConsecutiveFailures >= MaxConsecutiveFailures ||
        W.SuccessShare < MinSuccessShare || IsRecovering)
      this->ejectWorker(W, Now);
  }

  size_t ejectedCount() const override { return this->EjectedWorkers; }

private:
  struct State {
    bool Present = false;
    bool Ejected = false;
    int ConsecutiveFailures = 0;
    /// Includes failures that are attributed to the request.
    int FailuresSinceSuccess = 0;
    int Allowance = Unrestricted;
    /// Each of them doubles the time of the next ejection.
    int RecentEjections = 0;
    double SuccessShare = 1;
    absl::Time EjectedUntil = absl::InfinitePast();
  };

  /// Ejects a worker unless more than a third of all workers would be ejected.
  void ejectWorker(State &W, absl::Time Now) {
    if (W.Ejected || 3 * (this->EjectedWorkers + 1) > this->PresentCount)
      return;
    W.Ejected = true;
    ++this->EjectedWorkers;
    int Doublings = std::min(W.RecentEjections++, MaxEjectionDoublings);
    W.EjectedUntil = Now + BaseEjectionTime * (1 << Doublings);
    W.Allowance = 1;
    W.ConsecutiveFailures = 0;
    // Outcomes before the ejection do not count after the worker's return.
    W.SuccessShare = 1;
  }

  /// Takes back one recorded failure, because the request caused it.
  void revertFailure(size_t Worker) {
    State &W = this->Workers[Worker];
    W.ConsecutiveFailures = std::max(0, W.ConsecutiveFailures - 1);
    W.SuccessShare = std::min(1.0, W.SuccessShare / (1 - OutcomeWeight));
  }

  std::vector<State> Workers;
  size_t PresentCount = 0;
  size_t EjectedWorkers = 0;
};

std::unique_ptr<WorkerHealth> WorkerHealth::create(HealthControl Control) {
  if (Control == HealthControl::None)
    return std::make_unique<NoEjection>();
  return std::make_unique<EjectingWorkerHealth>();
}

} // namespace vanillayard
