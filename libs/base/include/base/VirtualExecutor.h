#ifndef VANILLAYARD_BASE_VIRTUALEXECUTOR_H
#define VANILLAYARD_BASE_VIRTUALEXECUTOR_H

#include "base/Executor.h"

#include "absl/container/flat_hash_map.h"

#include <deque>
#include <map>
#include <utility>

namespace vanillayard {

/// An executor on a virtual clock. Time moves only in advance(), so that the
/// result of a test does not depend on the speed of the machine.
///
/// \code
///   VirtualExecutor Exec;
///   Exec.runAfter(absl::Seconds(5), [&] { Expired = true; });
///   Exec.advance(absl::Seconds(5));
/// \endcode
class VirtualExecutor final : public Executor {
public:
  explicit VirtualExecutor(absl::Time Start = absl::FromUnixSeconds(1000000));

  absl::Time now() const override { return this->Now; }
  void post(std::function<void()> Work) override;
  TimerId runAfter(absl::Duration Delay, std::function<void()> Work) override;
  void cancel(TimerId Timer) override;

  /// Runs posted work until there is none, without moving the clock.
  void runReady();

  /// Moves the clock by \p Step and runs posted work and due timers, timers in
  /// the order of their times.
  void advance(absl::Duration Step);

  /// Number of timers that have neither run nor been cancelled.
  size_t pendingTimers() const { return this->Timers.size(); }

private:
  using TimerKey = std::pair<absl::Time, TimerId>;

  absl::Time Now;
  TimerId NextTimer = 1;
  std::deque<std::function<void()>> Ready;
  std::map<TimerKey, std::function<void()>> Timers;
  absl::flat_hash_map<TimerId, absl::Time> DueTimes;
};

} // namespace vanillayard

#endif
