#ifndef VANILLAYARD_LOAD_FAILINGWORKER_H
#define VANILLAYARD_LOAD_FAILINGWORKER_H

#include "load/Experiment.h"

namespace vanillayard {

/// Steady load without faults, then while one worker fails every task that it
/// starts.
class FailingWorker final : public Experiment {
public:
  std::string name() const override { return "failing-worker"; }

protected:
  int phaseCount() const override { return 2; }
  absl::Status measure(Trial &T) override;
};

} // namespace vanillayard

#endif
