#ifndef VANILLAYARD_REQUESTS_TESTS_HOSTEXECUTOR_H
#define VANILLAYARD_REQUESTS_TESTS_HOSTEXECUTOR_H

#include "base/Executor.h"

#include <deque>
#include <memory>

namespace vanillayard {

/// Executor of one simulated host on the executor of the simulation. A frozen
/// host defers all work that becomes due and runs it when it is thawed. A
/// restart drops the work of the killed process.
class HostExecutor final : public Executor {
public:
  explicit HostExecutor(Executor &VirtualExec) : VirtualExec(VirtualExec) {}

  absl::Time now() const override { return this->VirtualExec.now(); }
  void post(std::function<void()> Work) override {
    this->VirtualExec.post(this->bindToProcess(std::move(Work)));
  }
  TimerId runAfter(absl::Duration Delay, std::function<void()> Work) override {
    return this->VirtualExec.runAfter(Delay,
                                      this->bindToProcess(std::move(Work)));
  }
  void cancel(TimerId Timer) override { this->VirtualExec.cancel(Timer); }

  void freeze() { this->Current->Frozen = true; }
  void thaw() {
    this->Current->Frozen = false;
    for (auto &Work : std::exchange(this->Current->Deferred, {}))
      this->post(std::move(Work));
  }
  bool isFrozen() const { return this->Current->Frozen; }
  /// Kills the process and drops its work; work posted later belongs to a new
  /// process.
  void restart() {
    this->Current->Killed = true;
    this->Current = std::make_shared<Process>();
  }

private:
  struct Process {
    bool Frozen = false;
    bool Killed = false;
    std::deque<std::function<void()>> Deferred;
  };

  std::function<void()> bindToProcess(std::function<void()> Work) {
    return [Work = std::move(Work), P = this->Current] {
      if (P->Killed)
        return;
      if (P->Frozen)
        P->Deferred.push_back(Work);
      else
        Work();
    };
  }

  Executor &VirtualExec;
  std::shared_ptr<Process> Current = std::make_shared<Process>();
};

} // namespace vanillayard

#endif
