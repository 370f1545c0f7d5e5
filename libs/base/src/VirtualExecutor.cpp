#include "base/VirtualExecutor.h"

#include <algorithm>

namespace vanillayard {

VirtualExecutor::VirtualExecutor(absl::Time Start) : Now(Start) {}

void VirtualExecutor::post(std::function<void()> Work) {
  this->Ready.push_back(std::move(Work));
}

Executor::TimerId VirtualExecutor::runAfter(absl::Duration Delay,
                                            std::function<void()> Work) {
  TimerId Id = this->NextTimer++;
  absl::Time Due = this->Now + std::max(Delay, absl::ZeroDuration());
  this->Timers.emplace(TimerKey(Due, Id), std::move(Work));
  this->DueTimes.emplace(Id, Due);
  return Id;
}

void VirtualExecutor::cancel(TimerId Timer) {
  auto Found = this->DueTimes.find(Timer);
  if (Found == this->DueTimes.end())
    return;
  this->Timers.erase(TimerKey(Found->second, Timer));
  this->DueTimes.erase(Found);
}

void VirtualExecutor::runReady() {
  while (!this->Ready.empty()) {
    std::function<void()> Work = std::move(this->Ready.front());
    this->Ready.pop_front();
    Work();
  }
}

void VirtualExecutor::advance(absl::Duration Step) {
  absl::Time End = this->Now + Step;
  this->runReady();
  while (!this->Timers.empty() && this->Timers.begin()->first.first <= End) {
    auto First = this->Timers.begin();
    this->Now = std::max(this->Now, First->first.first);
    std::function<void()> Work = std::move(First->second);
    this->DueTimes.erase(First->first.second);
    this->Timers.erase(First);
    Work();
    this->runReady();
  }
  this->Now = End;
}

} // namespace vanillayard
