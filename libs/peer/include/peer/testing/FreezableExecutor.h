#ifndef VANILLAYARD_PEER_TESTING_FREEZABLEEXECUTOR_H
#define VANILLAYARD_PEER_TESTING_FREEZABLEEXECUTOR_H

#include "base/Executor.h"

#include <deque>
#include <memory>
#include <set>
#include <utility>

namespace vanillayard {

/// Executor of one simulated process, which runs on the executor of a test.
/// While it is frozen, due work is held back and the clock advances, as for a
/// stopped process. Destroying it drops all its work.
class FreezableExecutor final : public Executor {
public:
  explicit FreezableExecutor(Executor &Inner) : Inner(Inner) {}
  ~FreezableExecutor() override;

  absl::Time now() const override { return this->Inner.now(); }
  void post(std::function<void()> Work) override;
  TimerId runAfter(absl::Duration Delay, std::function<void()> Work) override;
  void cancel(TimerId Timer) override;

  void freeze() { this->IsFrozen = true; }
  /// Posts a run of the work that was held back, in order.
  void thaw();
  bool isFrozen() const { return this->IsFrozen; }

private:
  void runOrHold(TimerId Timer, std::function<void()> Work);

  Executor &Inner;
  bool IsFrozen = false;
  std::set<TimerId> Pending;
  /// Work that was held back, with its timer; 0 for posted work.
  std::deque<std::pair<TimerId, std::function<void()>>> Held;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace vanillayard

#endif
