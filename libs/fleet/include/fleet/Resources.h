#ifndef VANILLAYARD_FLEET_RESOURCES_H
#define VANILLAYARD_FLEET_RESOURCES_H

#include <cstdint>

namespace vanillayard {

/// Resources that a task needs or a worker has. The members of a difference may
/// be negative.
struct Resources {
  /// Most of each kind that one task can need or one worker can have. Sums over
  /// all tasks of many jobs stay far below 2^63.
  static constexpr int64_t MaxAmount = int64_t(1) << 31;

  /// Thousandths of a core.
  int64_t MilliCores = 0;
  int64_t MemoryMib = 0;
  int64_t Accelerators = 0;

  /// Whether each amount is in 0..MaxAmount.
  bool isInRange() const {
    auto IsInRange = [](int64_t Amount) {
      return Amount >= 0 && Amount <= Resources::MaxAmount;
    };
    return IsInRange(this->MilliCores) && IsInRange(this->MemoryMib) &&
           IsInRange(this->Accelerators);
  }
  bool fitsIn(const Resources &Available) const {
    return this->MilliCores <= Available.MilliCores &&
           this->MemoryMib <= Available.MemoryMib &&
           this->Accelerators <= Available.Accelerators;
  }
  Resources &operator+=(const Resources &Other) {
    this->MilliCores += Other.MilliCores;
    this->MemoryMib += Other.MemoryMib;
    this->Accelerators += Other.Accelerators;
    return *this;
  }
  Resources &operator-=(const Resources &Other) {
    this->MilliCores -= Other.MilliCores;
    this->MemoryMib -= Other.MemoryMib;
    this->Accelerators -= Other.Accelerators;
    return *this;
  }
  friend Resources operator+(Resources A, const Resources &B) { return A += B; }
  friend Resources operator-(Resources A, const Resources &B) { return A -= B; }
  friend bool operator==(const Resources &, const Resources &) = default;
};

} // namespace vanillayard

#endif
