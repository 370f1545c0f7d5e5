#include "ArrivalRate.h"

#include <cmath>

namespace vanillayard {

void ArrivalRate::add(double Amount, absl::Time Now) {
  this->Rate = this->perSecond(Now) +
               Amount / absl::ToDoubleSeconds(ArrivalRate::TimeConstant);
  this->UpdatedAt = Now;
}

double ArrivalRate::perSecond(absl::Time Now) const {
  if (this->Rate == 0)
    return 0;
  double Age = (Now - this->UpdatedAt) / ArrivalRate::TimeConstant;
  return this->Rate * std::exp(-std::max(Age, 0.0));
}

} // namespace vanillayard
