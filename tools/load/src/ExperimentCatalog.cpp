#include "load/Experiment.h"

#include "FailingWorker.h"
#include "GangMix.h"
#include "LeastUrgentFlood.h"
#include "MostUrgentFlood.h"
#include "RollingRestart.h"
#include "SmallCallers.h"

namespace vanillayard {

std::vector<std::unique_ptr<Experiment>> Experiment::all() {
  std::vector<std::unique_ptr<Experiment>> All;
  All.push_back(std::make_unique<LeastUrgentFlood>());
  All.push_back(std::make_unique<MostUrgentFlood>());
  All.push_back(std::make_unique<SmallCallers>());
  All.push_back(std::make_unique<GangMix>());
  All.push_back(std::make_unique<FailingWorker>());
  All.push_back(std::make_unique<RollingRestart>());
  return All;
}

} // namespace vanillayard
