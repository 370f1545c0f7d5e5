#ifndef VANILLAYARD_LOAD_LEASTURGENTFLOOD_H
#define VANILLAYARD_LOAD_LEASTURGENTFLOOD_H

#include "load/Experiment.h"

namespace vanillayard {

/// Latency of the most urgent kind, alone and during a flood of the least
/// urgent kind at ten times capacity.
class LeastUrgentFlood final : public Experiment {
public:
  std::string name() const override { return "least-urgent-flood"; }

protected:
  int phaseCount() const override { return 2; }
  absl::Status measure(Trial &T) override;
};

} // namespace vanillayard

#endif
