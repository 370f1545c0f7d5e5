#ifndef VANILLAYARD_OBSERVE_GAUGE_H
#define VANILLAYARD_OBSERVE_GAUGE_H

namespace vanillayard {

/// A metric that can increase and decrease.
class Gauge {
public:
  void set(double NewValue) { this->Value = NewValue; }
  void add(double Amount) { this->Value += Amount; }
  double value() const { return this->Value; }

private:
  double Value = 0;
};

} // namespace vanillayard

#endif
