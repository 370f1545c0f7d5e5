#ifndef VANILLAYARD_OBSERVE_COUNTER_H
#define VANILLAYARD_OBSERVE_COUNTER_H

#include <cstdint>

namespace vanillayard {

/// A metric that only increases.
class Counter {
public:
  void add(uint64_t Amount = 1) { this->Value += Amount; }
  uint64_t value() const { return this->Value; }

private:
  uint64_t Value = 0;
};

} // namespace vanillayard

#endif
