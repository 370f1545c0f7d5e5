#include "load/LeastSquares.h"

#include <cmath>

namespace vanillayard {

static constexpr size_t MinPoints = 3;

absl::StatusOr<LeastSquares>
LeastSquares::fit(const std::vector<Point> &Points) {
  if (Points.size() < MinPoints)
    return absl::InvalidArgumentError(
        "a linear fit needs at least three points");
  auto Count = static_cast<double>(Points.size());
  double MeanX = 0;
  double MeanY = 0;
  for (const Point &P : Points) {
    MeanX += P.X / Count;
    MeanY += P.Y / Count;
  }
  double Covariance = 0;
  double Variance = 0;
  for (const Point &P : Points) {
    Covariance += (P.X - MeanX) * (P.Y - MeanY);
    Variance += (P.X - MeanX) * (P.X - MeanX);
  }
  if (Variance <= 0)
    return absl::InvalidArgumentError("all points have the same X");
  LeastSquares Line;
  Line.Slope = Covariance / Variance;
  Line.Intercept = MeanY - Line.Slope * MeanX;
  double Squares = 0;
  for (const Point &P : Points) {
    double Distance = P.Y - (Line.Intercept + Line.Slope * P.X);
    Squares += Distance * Distance;
  }
  Line.Residual = std::sqrt(Squares / Count);
  return Line;
}

} // namespace vanillayard
