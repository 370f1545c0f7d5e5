#ifndef VANILLAYARD_REQUESTS_TESTS_HOSTEXECUTOR_H
#define VANILLAYARD_REQUESTS_TESTS_HOSTEXECUTOR_H

#include "base/Executor.h"

#include <deque>
#include <memory>

namespace vanillayard {

/// The executor of one simulated host. A frozen host runs nothing until it is
/// thawed and then everything that fell due; a dead host never runs again.
class HostExecutor final : public Executor {
public:
  explicit HostExecutor(Executor &World) : World(World) {}

  absl::Time now() const override { return this->World.now(); }
  void post(std::function<void()> Work) override {
    this->World.post(this->wrap(std::move(Work)));
  }
  TimerId runAfter(absl::Duration Delay, std::function<void()> Work) override {
    return this->World.runAfter(Delay, this->wrap(std::move(Work)));
  }
  void cancel(TimerId Timer) override { this->World.cancel(Timer); }

  void freeze() { this->Current->Frozen = true; }
  void thaw() {
    this->Current->Frozen = false;
    for (auto &Work : std::exchange(this->Current->Held, {}))
      this->post(std::move(Work));
  }
  bool isFrozen() const { return this->Current->Frozen; }
  /// Drops all work; what is posted from now on belongs to a new process.
  void restart() {
    this->Current->Dead = true;
    this->Current = std::make_shared<Process>();
  }

private:
  struct Process {
    bool Frozen = false;
    bool Dead = false;
    std::deque<std::function<void()>> Held;
  };

  std::function<void()> wrap(std::function<void()> Work) {
    return [Work = std::move(Work), P = this->Current] {
      if (P->Dead)
        return;
      if (P->Frozen)
        P->Held.push_back(Work);
      else
        Work();
    };
  }

  Executor &World;
  std::shared_ptr<Process> Current = std::make_shared<Process>();
};

} // namespace vanillayard

#endif
