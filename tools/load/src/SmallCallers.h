#ifndef VANILLAYARD_LOAD_SMALLCALLERS_H
#define VANILLAYARD_LOAD_SMALLCALLERS_H

#include "load/Experiment.h"

namespace vanillayard {

/// Ten equal small callers, alone and beside one caller that sends 100 times as
/// many requests as each of them.
class SmallCallers final : public Experiment {
public:
  std::string name() const override { return "small-callers"; }

protected:
  int phaseCount() const override { return 2; }
  absl::Status measure(Trial &T) override;
};

} // namespace vanillayard

#endif
