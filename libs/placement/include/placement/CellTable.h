#ifndef VANILLAYARD_PLACEMENT_CELLTABLE_H
#define VANILLAYARD_PLACEMENT_CELLTABLE_H

#include <array>
#include <cstddef>
#include <cstdint>

namespace vanillayard {

inline constexpr int MaxAcceleratorsPerWorker = 8;
/// Levels of cells within a worker: 1, 2, 4 and 8 accelerators.
inline constexpr int CellLevels = 4;

/// Table of the aligned cells in every set of accelerators of a worker,
/// computed on first use. As in a buddy allocator, a cell has a power of two of
/// accelerators and starts at a multiple of its size.
class CellTable {
public:
  static const CellTable &get();

  /// \returns the smallest level whose cell holds \p Accelerators (1 to 8).
  static int levelOf(int Accelerators);

  /// \returns the accelerators out of \p Mask that best fit chooses for a
  ///          member of \p Size, or 0 if it does not fit. A size that is not a
  ///          power of two is composed of one aligned cell for each bit that
  ///          is set in it.
  uint8_t pick(uint8_t Mask, int Size) const {
    return this->Picks[Mask][static_cast<size_t>(Size)];
  }

  /// \returns the number of members of \p Size that fit in \p Mask.
  int capacity(uint8_t Mask, int Size) const {
    return this->Capacities[Mask][static_cast<size_t>(Size)];
  }

  /// \returns the number of cells of \p Level when \p Mask is divided into as
  ///          few aligned cells as possible.
  int blockCount(uint8_t Mask, int Level) const {
    return this->Blocks[Mask][static_cast<size_t>(Level)];
  }

  /// \returns the level of the largest cell that pick() divides for a member of
  ///          \p Size; CellLevels if it does not fit.
  int dividedLevel(uint8_t Mask, int Size) const {
    return this->Divided[Mask][static_cast<size_t>(Size)];
  }

private:
  CellTable();
  void fillBlocks(unsigned Mask);
  uint8_t pickCell(uint8_t Mask, int Level, int &Divided) const;
  uint8_t pickMember(uint8_t Mask, int Size, int &Divided) const;

  template <typename T, size_t N>
  using Table = std::array<std::array<T, N>, 256>;
  Table<uint8_t, MaxAcceleratorsPerWorker + 1> Picks{};
  Table<uint8_t, MaxAcceleratorsPerWorker + 1> Capacities{};
  Table<uint8_t, MaxAcceleratorsPerWorker + 1> Divided{};
  Table<uint8_t, CellLevels> Blocks{};
};

} // namespace vanillayard

#endif
