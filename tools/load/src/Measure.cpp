#include "load/Measure.h"

#include <fmt/format.h>

#include <limits>

namespace vanillayard {

bool Target::isMetBy(double Measured) const {
  switch (this->Kind) {
  case Bound::AtMost:
    return Measured <= this->Value;
  case Bound::AtLeast:
    return Measured >= this->Value;
  case Bound::Below:
    return Measured < this->Value;
  }
  return false;
}

std::string Target::text() const {
  const char *Sign = "<=";
  if (this->Kind == Bound::AtLeast)
    Sign = ">=";
  if (this->Kind == Bound::Below)
    Sign = "<";
  return fmt::format("{}{} {:g}", this->AppliesToRatio ? "ratio " : "", Sign,
                     this->Value);
}

double Measure::ratio() const {
  if (this->Baseline != 0)
    return this->Chosen / this->Baseline;
  return this->Chosen == 0 ? 1 : std::numeric_limits<double>::infinity();
}

bool Measure::isMet() const {
  return !this->Required ||
         this->Required->isMetBy(this->Required->AppliesToRatio ? this->ratio()
                                                                : this->Chosen);
}

} // namespace vanillayard
