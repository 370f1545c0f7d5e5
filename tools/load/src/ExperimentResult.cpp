#include "load/ExperimentResult.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace vanillayard {

bool ExperimentResult::isMet() const {
  return std::all_of(this->Measures.begin(), this->Measures.end(),
                     [](const Measure &M) { return M.isMet(); });
}

static const char *verdictOf(const Measure &M) {
  if (!M.Required)
    return "";
  return M.isMet() ? "met" : "MISSED";
}

std::string ExperimentResult::table() const {
  std::string Out =
      fmt::format("{} on {}, seed {}\n  {:<42} {:>11} {:>11} {:>8}  {}\n",
                  this->Name, this->Deployment, this->Seed, "measure",
                  "baseline", "chosen", "ratio", "target");
  for (const Measure &M : this->Measures)
    fmt::format_to(std::back_inserter(Out),
                   "  {:<42} {:>11.3f} {:>11.3f} {:>8.3f}  {} {}\n",
                   fmt::format("{} ({})", M.Name, M.Unit), M.Baseline, M.Chosen,
                   M.ratio(), M.Required ? M.Required->text() : "",
                   verdictOf(M));
  return Out;
}

nlohmann::json ExperimentResult::json() const {
  nlohmann::json List = nlohmann::json::array();
  for (const Measure &M : this->Measures) {
    nlohmann::json Row = {{"name", M.Name},
                          {"unit", M.Unit},
                          {"baseline", M.Baseline},
                          {"chosen", M.Chosen}};
    if (std::isfinite(M.ratio()))
      Row["ratio"] = M.ratio();
    if (M.Required) {
      Row["target"] = M.Required->text();
      Row["met"] = M.isMet();
    }
    List.push_back(std::move(Row));
  }
  return {{"experiment", this->Name}, {"deployment", this->Deployment},
          {"seed", this->Seed},       {"met", this->isMet()},
          {"measures", List},         {"details", this->Details}};
}

} // namespace vanillayard
