#ifndef VANILLAYARD_NET_LOOPEXECUTOR_H
#define VANILLAYARD_NET_LOOPEXECUTOR_H

#include "base/Executor.h"

#include <functional>
#include <memory>

struct uv_loop_s;

namespace vanillayard {

/// An executor on a libuv loop. All calls come from one thread.
///
/// now() is the wall-clock time at start plus the monotonic time since then,
/// so it does not jump when the system clock is set.
class LoopExecutor final : public Executor {
public:
  LoopExecutor();
  ~LoopExecutor() override;
  LoopExecutor(const LoopExecutor &) = delete;
  LoopExecutor &operator=(const LoopExecutor &) = delete;

  absl::Time now() const override;
  void post(std::function<void()> Work) override;
  TimerId runAfter(absl::Duration Delay, std::function<void()> Work) override;
  void cancel(TimerId Timer) override;

  /// Runs until stop().
  void run();
  void stop();

  /// Calls \p Work in the loop each time the process gets \p Signal.
  void onSignal(int Signal, std::function<void()> Work);

  uv_loop_s *loop();

private:
  class Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace vanillayard

#endif
