#ifndef VANILLAYARD_CONTROL_TESTS_FREEZABLEEXECUTOR_H
#define VANILLAYARD_CONTROL_TESTS_FREEZABLEEXECUTOR_H

#include "base/Executor.h"

#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace vanillayard {

/// The executor of one host, which can be suspended: its clock and timers
/// stand still, and work for it waits until it runs on.
class FreezableExecutor final : public Executor {
public:
  explicit FreezableExecutor(Executor &Base)
      : Shared(std::make_shared<State>(Base)) {}

  absl::Time now() const override { return this->Shared->now(); }
  void post(std::function<void()> Work) override;
  TimerId runAfter(absl::Duration Delay, std::function<void()> Work) override;
  void cancel(TimerId Timer) override;

  /// A callback that runs when the host does. May outlive the host.
  template <typename Result>
  std::function<void(Result)> delayed(std::function<void(Result)> Done) const {
    return [State = this->Shared, Done = std::move(Done)](Result Answer) {
      State->deliver([Done, Answer = std::move(Answer)] { Done(Answer); });
    };
  }

  void freeze();
  void thaw();
  bool isFrozen() const { return this->Shared->IsFrozen; }

private:
  struct State : public std::enable_shared_from_this<State> {
    explicit State(Executor &Base) : Base(Base) {}

    absl::Time now() const {
      return (this->IsFrozen ? this->FrozenAt : this->Base.now()) - this->Lost;
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
    /// Time that the clock has not counted.
    absl::Duration Lost = absl::ZeroDuration();
    TimerId NextTimer = 1;
    std::map<TimerId, PendingTimer> Timers;
    std::vector<std::function<void()>> Waiting;
  };

  std::shared_ptr<State> Shared;
};

} // namespace vanillayard

#endif
