#ifndef VANILLAYARD_LOAD_GANGMIX_H
#define VANILLAYARD_LOAD_GANGMIX_H

#include "load/Experiment.h"

namespace vanillayard {

/// Gangs of whole workers among small jobs whose declared run times are wrong
/// by a factor of ten either way.
class GangMix final : public Experiment {
public:
  std::string name() const override { return "gang-mix"; }

protected:
  absl::Status measure(Trial &T) override;

private:
  /// Size of the largest startable gang, as placed and with perfect packing,
  /// each summed over samples and data centres.
  struct Packing {
    double Startable = 0;
    double Perfect = 0;
  };

  static absl::Status samplePacking(Trial &T, absl::Duration Time,
                                    Packing &Sum);
};

} // namespace vanillayard

#endif
