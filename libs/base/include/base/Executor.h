#ifndef VANILLAYARD_BASE_EXECUTOR_H
#define VANILLAYARD_BASE_EXECUTOR_H

#include "absl/time/time.h"

#include <cstdint>
#include <functional>

namespace vanillayard {

/// Runs callbacks of tasks, one at a time, and provides the clock. A task's
/// state is accessed only from its executor, so tasks need no locks.
///
/// LoopExecutor runs on a libuv loop; VirtualExecutor has a virtual clock for
/// tests.
class Executor {
public:
  /// Identifies a pending timer; 0 is never used.
  using TimerId = uint64_t;

  virtual ~Executor() = default;

  /// Current time. Monotonic: never goes back within a process.
  virtual absl::Time now() const = 0;

  /// Queues \p Work, which runs after the current callback has returned.
  virtual void post(std::function<void()> Work) = 0;

  /// Runs \p Work once, \p Delay from now. A negative delay counts as zero.
  virtual TimerId runAfter(absl::Duration Delay,
                           std::function<void()> Work) = 0;

  /// Cancels a timer. Does nothing if it has already run or been cancelled.
  virtual void cancel(TimerId Timer) = 0;
};

} // namespace vanillayard

#endif
