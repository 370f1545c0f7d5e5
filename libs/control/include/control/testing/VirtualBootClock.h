#ifndef VANILLAYARD_CONTROL_TESTING_VIRTUALBOOTCLOCK_H
#define VANILLAYARD_CONTROL_TESTING_VIRTUALBOOTCLOCK_H

#include "base/BootClock.h"
#include "base/Executor.h"

namespace vanillayard {

/// A boot clock that follows an executor.
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
