#ifndef VANILLAYARD_LOAD_SMALLCALLERS_H
#define VANILLAYARD_LOAD_SMALLCALLERS_H

#include "load/Experiment.h"

namespace vanillayard {

/// Ten equal small callers, alone and beside one that asks 100 times more.
class SmallCallers final : public Experiment {
public:
  std::string name() const override { return "small-callers"; }

protected:
  int phases() const override { return 2; }
  absl::Status measure(Trial &T) override;
};

} // namespace vanillayard

#endif
