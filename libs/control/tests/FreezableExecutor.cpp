#include "FreezableExecutor.h"

#include <algorithm>
#include <utility>

namespace vanillayard {

void FreezableExecutor::State::deliver(std::function<void()> Work) {
  if (this->IsFrozen)
    this->QueuedWork.push_back(std::move(Work));
  else
    Work();
}

void FreezableExecutor::State::arm(TimerId Timer) {
  this->Base.runAfter(this->Timers.at(Timer).Due - this->now(),
                      [Self = this->shared_from_this(), Timer] {
                        Self->deliver([Self, Timer] { Self->fire(Timer); });
                      });
}

/// Runs the timer's work, or arms it again if the executor was frozen meanwhile
/// and part of the delay is left on its clock.
void FreezableExecutor::State::fire(TimerId Timer) {
  auto Found = this->Timers.find(Timer);
  if (Found == this->Timers.end())
    return;
  if (Found->second.Due > this->now())
    return this->arm(Timer);
  std::function<void()> Work = std::move(Found->second.Work);
  this->Timers.erase(Found);
  Work();
}

void FreezableExecutor::post(std::function<void()> Work) {
  this->SharedState->Base.post(
      [State = this->SharedState, Work = std::move(Work)] {
        State->deliver(Work);
      });
}

Executor::TimerId FreezableExecutor::runAfter(absl::Duration Delay,
                                              std::function<void()> Work) {
  State &S = *this->SharedState;
  TimerId Id = S.NextTimer++;
  absl::Duration Wait = std::max(Delay, absl::ZeroDuration());
  S.Timers[Id] = {S.now() + Wait, std::move(Work)};
  S.arm(Id);
  return Id;
}

void FreezableExecutor::cancel(TimerId Timer) {
  this->SharedState->Timers.erase(Timer);
}

void FreezableExecutor::freeze() {
  State &S = *this->SharedState;
  if (std::exchange(S.IsFrozen, true))
    return;
  S.FrozenAt = S.Base.now();
}

void FreezableExecutor::thaw() {
  State &S = *this->SharedState;
  if (!std::exchange(S.IsFrozen, false))
    return;
  S.FrozenTime += S.Base.now() - S.FrozenAt;
  for (std::function<void()> &Work : std::exchange(S.QueuedWork, {}))
    Work();
}

} // namespace vanillayard
