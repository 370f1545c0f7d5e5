#ifndef VANILLAYARD_CONTROL_TESTS_FREEZABLEEXECUTOR_H
#define VANILLAYARD_CONTROL_TESTS_FREEZABLEEXECUTOR_H

#include "base/Executor.h"

#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace vanillayard {

/// Executor of one host that can be frozen, as a suspended machine is: its
/// clock and timers stop, and callbacks are queued until it is thawed.
class FreezableExecutor final : public Executor {
public:
  explicit FreezableExecutor(Executor &Base)
      : SharedState(std::make_shared<State>(Base)) {}

  absl::Time now() const override { return this->SharedState->now(); }
  void post(std::function<void()> Work) override;
  TimerId runAfter(absl::Duration Delay, std::function<void()> Work) override;
  void cancel(TimerId Timer) override;

  /// Wraps \p Done so that answers are queued while the executor is frozen.
  /// The callback may outlive the executor.
  template <typename Result>
  std::function<void(Result)>
  deferWhileFrozen(std::function<void(Result)> Done) const {
    return [State = this->SharedState, Done = std::move(Done)](Result Answer) {
      State->deliver([Done, Answer = std::move(Answer)] { Done(Answer); });
    };
  }

  void freeze();
  void thaw();
  bool isFrozen() const { return this->SharedState->IsFrozen; }

private:
  struct State : public std::enable_shared_from_this<State> {
    explicit State(Executor &Base) : Base(Base) {}

    absl::Time now() const {
      return (this->IsFrozen ? this->FrozenAt : this->Base.now()) -
             this->FrozenTime;
    }
    void deliver(std::function<void()> Work);
    void arm(TimerId Timer);
    void fire(TimerId Timer);

    struct PendingTimer {
      absl::Time Due;
      std::function<void()> Work;
    };

    Executor &Base;
    bool IsFrozen = false;
    absl::Time FrozenAt;
    /// Total time spent frozen, which the clock does not count.
    absl::Duration FrozenTime = absl::ZeroDuration();
    TimerId NextTimer = 1;
    std::map<TimerId, PendingTimer> Timers;
    std::vector<std::function<void()>> QueuedWork;
  };

  std::shared_ptr<State> SharedState;
};

} // namespace vanillayard

#endif
