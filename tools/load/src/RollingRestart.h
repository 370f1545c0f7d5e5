#ifndef VANILLAYARD_LOAD_ROLLINGRESTART_H
#define VANILLAYARD_LOAD_ROLLINGRESTART_H

#include "load/Experiment.h"

namespace vanillayard {

/// Steady load, without restarts and while every entry host restarts in turn.
class RollingRestart final : public Experiment {
public:
  std::string name() const override { return "rolling-restart"; }

protected:
  int phaseCount() const override { return 2; }
  absl::Status measure(Trial &T) override;
};

} // namespace vanillayard

#endif
