#include "policy/WorkerHealth.h"

#include <algorithm>
#include <vector>

namespace vanillayard {

static constexpr int MaxConsecutiveFailures = 3;
// Weight of one outcome in the moving share of successes.
static constexpr double OutcomeWeight = 0.1;
// Below this share of successes a worker is ejected.
static constexpr double MinSuccessShare = 0.5;
// A worker that had no success in as many attempts is not sound: its failures
// are not blamed on the requests. Otherwise two workers that fail everything
// would excuse each other.
static constexpr int MaxFailuresOfSoundWorker = 5;
static constexpr absl::Duration FirstEjection = absl::Seconds(1);
static constexpr int MaxDoublings = 6;
// A worker that stays sound for this long is forgiven one ejection, so that
// one that fails again soon is kept out for longer.
static constexpr absl::Duration ForgiveAfter = absl::Minutes(1);
static constexpr int FullAllowance = 64;

/// Baseline: every worker is used.
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

class EjectingHealth final : public WorkerHealth {
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
      --this->Ejections;
    Old = State();
  }

  int allowance(size_t Worker, absl::Time Now) override {
    State &W = this->Workers[Worker];
    if (W.Ejected && Now >= W.EjectedUntil) {
      W.Ejected = false;
      --this->Ejections;
      W.Allowance = 1;
    }
    return W.Ejected ? 0 : W.Allowance;
  }

  void onSuccess(size_t Worker, absl::Time Now) override {
    State &W = this->Workers[Worker];
    W.ConsecutiveFailures = 0;
    W.FailuresSinceSuccess = 0;
    W.SuccessShare += OutcomeWeight * (1 - W.SuccessShare);
    // Answers of requests sent before the ejection do not end it.
    if (W.Ejected)
      return;
    if (W.Allowance < FullAllowance)
      W.Allowance *= 2;
    else
      W.Allowance = Unrestricted;
    if (W.EjectionsInRow > 0 && Now - W.EjectedUntil >= ForgiveAfter) {
      --W.EjectionsInRow;
      W.EjectedUntil = Now;
    }
  }

  void onFailure(size_t Worker, std::span<const size_t> FailedBefore,
                 absl::Time Now) override {
    State &W = this->Workers[Worker];
    bool Sound = ++W.FailuresSinceSuccess < MaxFailuresOfSoundWorker &&
                 W.Allowance == Unrestricted;
    if (Sound && !FailedBefore.empty()) {
      for (size_t Earlier : FailedBefore)
        this->excuse(Earlier);
      return;
    }
    ++W.ConsecutiveFailures;
    W.SuccessShare -= OutcomeWeight * W.SuccessShare;
    // While it returns, one failure is enough.
    bool Returning = W.Allowance < Unrestricted;
    if (W.ConsecutiveFailures >= MaxConsecutiveFailures ||
        W.SuccessShare < MinSuccessShare || Returning)
      this->eject(W, Now);
  }

  size_t ejectedCount() const override { return this->Ejections; }

private:
  struct State {
    bool Present = false;
    bool Ejected = false;
    int ConsecutiveFailures = 0;
    /// Also counts failures that were excused.
    int FailuresSinceSuccess = 0;
    int Allowance = Unrestricted;
    int EjectionsInRow = 0;
    double SuccessShare = 1;
    absl::Time EjectedUntil = absl::InfinitePast();
  };

  void eject(State &W, absl::Time Now) {
    if (W.Ejected || 3 * (this->Ejections + 1) > this->PresentCount)
      return;
    W.Ejected = true;
    ++this->Ejections;
    int Doublings = std::min(W.EjectionsInRow++, MaxDoublings);
    W.EjectedUntil = Now + FirstEjection * (1 << Doublings);
    W.Allowance = 1;
    W.ConsecutiveFailures = 0;
    // A returned worker is judged by what it does after its return.
    W.SuccessShare = 1;
  }

  void excuse(size_t Worker) {
    State &W = this->Workers[Worker];
    W.ConsecutiveFailures = std::max(0, W.ConsecutiveFailures - 1);
    W.SuccessShare = std::min(1.0, W.SuccessShare / (1 - OutcomeWeight));
  }

  std::vector<State> Workers;
  size_t PresentCount = 0;
  size_t Ejections = 0;
};

std::unique_ptr<WorkerHealth> WorkerHealth::create(HealthControl Control) {
  if (Control == HealthControl::None)
    return std::make_unique<NoEjection>();
  return std::make_unique<EjectingHealth>();
}

} // namespace vanillayard
