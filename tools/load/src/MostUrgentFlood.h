#ifndef VANILLAYARD_LOAD_MOSTURGENTFLOOD_H
#define VANILLAYARD_LOAD_MOSTURGENTFLOOD_H

#include "load/Experiment.h"

namespace vanillayard {

/// What the other kinds keep during a flood of the most urgent one.
class MostUrgentFlood final : public Experiment {
public:
  std::string name() const override { return "most-urgent-flood"; }

protected:
  int phases() const override { return 2; }
  absl::Status measure(Trial &T) override;
};

} // namespace vanillayard

#endif
