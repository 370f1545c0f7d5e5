#ifndef VANILLAYARD_BASE_EXECUTOR_H
#define VANILLAYARD_BASE_EXECUTOR_H

#include "absl/time/time.h"

#include <cstdint>
#include <functional>

namespace vanillayard {

/// Runs the work of tasks one piece at a time and tells the time. All state
/// of a task is touched only from its executor, so tasks need no locks.
///
/// LoopExecutor runs on libuv; VirtualExecutor on a virtual clock for tests.
class Executor {
public:
  /// Identifies a pending timer; 0 is never used.
  using TimerId = uint64_t;

  virtual ~Executor() = default;

  /// Current time. Monotonic: never goes back within a process.
  virtual absl::Time now() const = 0;

  /// Runs \p Work soon, after the current piece of work has returned.
  virtual void post(std::function<void()> Work) = 0;

  /// Runs \p Work once, \p Delay from now. A negative delay counts as zero.
  virtual TimerId runAfter(absl::Duration Delay,
                           std::function<void()> Work) = 0;

  /// Cancels a timer. Does nothing if it ran or was cancelled already.
  virtual void cancel(TimerId Timer) = 0;
};

} // namespace vanillayard

#endif
