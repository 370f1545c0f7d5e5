#include "load/SlopeResult.h"

#include "base/AbslView.h"

#include <fmt/format.h>

#include <iterator>

namespace vanillayard {

std::string SlopeResult::table(const std::vector<SlopeResult> &Results) {
  std::string Out =
      fmt::format("{:<40} {:<8} {:<14} {:>12} {:>12} {:>10}  {}\n", "quantity",
                  "unit", "per", "slope", "intercept", "residual", "points");
  for (const SlopeResult &Result : Results) {
    absl::StatusOr<LeastSquares> Line = Result.line();
    fmt::format_to(std::back_inserter(Out), "{:<40} {:<8} {:<14} ",
                   Result.Quantity, Result.Unit, Result.Size);
    if (Line.ok())
      fmt::format_to(std::back_inserter(Out), "{:>12.5f} {:>12.4f} {:>10.4f} ",
                     Line->Slope, Line->Intercept, Line->Residual);
    else
      Out += fmt::format("no fit: {} ", stdView(Line.status().message()));
    for (const LeastSquares::Point &P : Result.Points)
      fmt::format_to(std::back_inserter(Out), " ({:g}, {:.4g})", P.X, P.Y);
    Out += '\n';
  }
  return Out;
}

nlohmann::json SlopeResult::json(const std::vector<SlopeResult> &Results) {
  nlohmann::json List = nlohmann::json::array();
  for (const SlopeResult &Result : Results) {
    nlohmann::json Points = nlohmann::json::array();
    for (const LeastSquares::Point &P : Result.Points)
      Points.push_back({P.X, P.Y});
    nlohmann::json Row = {{"quantity", Result.Quantity},
                          {"unit", Result.Unit},
                          {"per", Result.Size},
                          {"points", Points}};
    absl::StatusOr<LeastSquares> Line = Result.line();
    if (Line.ok()) {
      Row["slope"] = Line->Slope;
      Row["intercept"] = Line->Intercept;
      Row["residual"] = Line->Residual;
    }
    List.push_back(std::move(Row));
  }
  return List;
}

} // namespace vanillayard
