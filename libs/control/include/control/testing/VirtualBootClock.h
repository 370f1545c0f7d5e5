#ifndef VANILLAYARD_CONTROL_TESTING_VIRTUALBOOTCLOCK_H
#define VANILLAYARD_CONTROL_TESTING_VIRTUALBOOTCLOCK_H

#include "base/BootClock.h"
#include "base/Executor.h"

namespace vanillayard {

/// Boot clock that counts an executor's time, which may be virtual.
class VirtualBootClock final : public BootClock {
public:
  explicit VirtualBootClock(const Executor &Exec) : Exec(Exec) {}
  absl::Duration now() const override {
    return this->Exec.now() - absl::UnixEpoch();
  }

private:
  const Executor &Exec;
};

} // namespace vanillayard

#endif
