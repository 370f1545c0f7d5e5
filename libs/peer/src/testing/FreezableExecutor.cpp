#include "peer/testing/FreezableExecutor.h"

namespace vanillayard {

FreezableExecutor::~FreezableExecutor() {
  for (TimerId Timer : this->Pending)
    this->Inner.cancel(Timer);
}

void FreezableExecutor::post(std::function<void()> Work) {
  this->Inner.post(
      [this, Token = std::weak_ptr<bool>(this->Alive), Work = std::move(Work)] {
        if (!Token.expired())
          this->runOrHold(0, Work);
      });
}

Executor::TimerId FreezableExecutor::runAfter(absl::Duration Delay,
                                              std::function<void()> Work) {
  auto Id = std::make_shared<TimerId>(0);
  *Id = this->Inner.runAfter(Delay, [this, Id, Work = std::move(Work)] {
    this->Pending.erase(*Id);
    this->runOrHold(*Id, Work);
  });
  this->Pending.insert(*Id);
  return *Id;
}

void FreezableExecutor::cancel(TimerId Timer) {
  this->Inner.cancel(Timer);
  this->Pending.erase(Timer);
  if (Timer != 0)
    std::erase_if(this->Held, [&](const auto &H) { return H.first == Timer; });
}

void FreezableExecutor::thaw() {
  this->IsFrozen = false;
  this->Inner.post([this, Token = std::weak_ptr<bool>(this->Alive)] {
    while (!Token.expired() && !this->Held.empty() && !this->IsFrozen) {
      std::function<void()> Work = std::move(this->Held.front().second);
      this->Held.pop_front();
      Work();
    }
  });
}

void FreezableExecutor::runOrHold(TimerId Timer, std::function<void()> Work) {
  // Work that was held back runs before newer work.
  if (this->IsFrozen || !this->Held.empty())
    this->Held.emplace_back(Timer, std::move(Work));
  else
    Work();
}

} // namespace vanillayard
