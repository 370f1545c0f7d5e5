#ifndef VANILLAYARD_JOBS_TESTS_PAUSABLEEXECUTOR_H
#define VANILLAYARD_JOBS_TESTS_PAUSABLEEXECUTOR_H

#include "base/Executor.h"

#include <deque>
#include <utility>

namespace vanillayard {

/// Executor of one simulated host that can be paused, as SIGSTOP pauses a
/// process. Work and timers that become due during the pause run when it is
/// resumed.
class PausableExecutor final : public Executor {
public:
  explicit PausableExecutor(Executor &Inner) : Inner(Inner) {}

  absl::Time now() const override { return this->Inner.now(); }
  void post(std::function<void()> Work) override {
    this->Inner.post(this->wrap(std::move(Work)));
  }
  TimerId runAfter(absl::Duration Delay, std::function<void()> Work) override {
    return this->Inner.runAfter(Delay, this->wrap(std::move(Work)));
  }
  void cancel(TimerId Timer) override { this->Inner.cancel(Timer); }

  void setPaused(bool Value) {
    this->Paused = Value;
    while (!this->Paused && !this->DeferredWork.empty()) {
      this->Inner.post(std::move(this->DeferredWork.front()));
      this->DeferredWork.pop_front();
    }
  }
  bool isPaused() const { return this->Paused; }

private:
  std::function<void()> wrap(std::function<void()> Work) {
    return [this, Work = std::move(Work)] {
      if (this->Paused)
        this->DeferredWork.push_back(Work);
      else
        Work();
    };
  }

  Executor &Inner;
  bool Paused = false;
  std::deque<std::function<void()>> DeferredWork;
};

} // namespace vanillayard

#endif
