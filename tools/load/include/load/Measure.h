#ifndef VANILLAYARD_LOAD_MEASURE_H
#define VANILLAYARD_LOAD_MEASURE_H

#include <optional>
#include <string>

namespace vanillayard {

/// The bound that a measure must keep to meet its requirement.
struct Target {
  enum class Bound { AtMost, AtLeast, Below };

  Bound Kind = Bound::AtMost;
  double Value = 0;
  /// True if the bound applies to Chosen / Baseline, false if to Chosen.
  bool AppliesToRatio = false;

  bool isMetBy(double Measured) const;
  /// Such as "<= 1.5" or "ratio < 1".
  std::string text() const;
};

/// One measured quantity of an experiment under both policies.
struct Measure {
  std::string Name;
  std::string Unit;
  double Baseline = 0;
  double Chosen = 0;
  std::optional<Target> Required;

  /// Chosen / Baseline; infinite if only the baseline is 0, 1 if both are.
  double ratio() const;
  /// True if there is no target.
  bool isMet() const;
};

} // namespace vanillayard

#endif
