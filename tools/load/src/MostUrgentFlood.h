#ifndef VANILLAYARD_LOAD_MOSTURGENTFLOOD_H
#define VANILLAYARD_LOAD_MOSTURGENTFLOOD_H

#include "load/Experiment.h"

namespace vanillayard {

/// Throughput of the other kinds, alone and during a flood of the most urgent
/// kind.
class MostUrgentFlood final : public Experiment {
public:
  std::string name() const override { return "most-urgent-flood"; }

protected:
  int phaseCount() const override { return 2; }
  absl::Status measure(Trial &T) override;
};

} // namespace vanillayard

#endif
