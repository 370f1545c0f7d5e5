#ifndef VANILLAYARD_LOAD_LEASTSQUARES_H
#define VANILLAYARD_LOAD_LEASTSQUARES_H

#include "absl/status/statusor.h"

#include <vector>

namespace vanillayard {

/// A straight line fitted to measured points by least squares.
struct LeastSquares {
  struct Point {
    double X = 0;
    double Y = 0;
  };

  double Slope = 0;
  double Intercept = 0;
  /// Root mean square of the distances in Y, in the unit of Y.
  double Residual = 0;

  /// Errors: InvalidArgument for fewer than three points or if all points have
  /// the same X.
  static absl::StatusOr<LeastSquares> fit(const std::vector<Point> &Points);
};

} // namespace vanillayard

#endif
