#ifndef VANILLAYARD_LOAD_EXPERIMENTRESULT_H
#define VANILLAYARD_LOAD_EXPERIMENTRESULT_H

#include "load/Measure.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace vanillayard {

/// Figures of one experiment.
struct ExperimentResult {
  std::string Name;
  std::string Deployment;
  uint64_t Seed = 0;
  std::vector<Measure> Measures;
  /// Records of each phase under both policies.
  nlohmann::json Details = nlohmann::json::object();

  bool isMet() const;
  /// One line for each measure, missed targets marked.
  std::string table() const;
  nlohmann::json json() const;
};

} // namespace vanillayard

#endif
