#ifndef VANILLAYARD_LOAD_SLOPERESULT_H
#define VANILLAYARD_LOAD_SLOPERESULT_H

#include "load/LeastSquares.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace vanillayard {

/// Measured points of one quantity against one size, and the line fitted to
/// them.
struct SlopeResult {
  /// Such as "processor time of an idle host".
  std::string Quantity;
  /// Unit of Y, such as "ms/s".
  std::string Unit;
  /// What X counts, such as "workers".
  std::string Size;
  std::vector<LeastSquares::Point> Points;

  /// Errors: those of LeastSquares::fit().
  absl::StatusOr<LeastSquares> line() const {
    return LeastSquares::fit(this->Points);
  }

  static std::string table(const std::vector<SlopeResult> &Results);
  static nlohmann::json json(const std::vector<SlopeResult> &Results);
};

} // namespace vanillayard

#endif
