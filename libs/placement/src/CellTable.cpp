#include "placement/CellTable.h"

#include <algorithm>
#include <bit>

namespace vanillayard {

static uint8_t cellMask(int Level, int Index) {
  unsigned Width = 1U << Level;
  return static_cast<uint8_t>(((1U << Width) - 1) << (Index * Width));
}

static int cellsAt(int Level) {
  return MaxAcceleratorsPerWorker >> Level;
}

const CellTable &CellTable::get() {
  static const CellTable Table;
  return Table;
}

int CellTable::levelOf(int Accelerators) {
  return std::bit_width(static_cast<unsigned>(Accelerators - 1));
}

CellTable::CellTable() {
  for (unsigned Mask = 0; Mask < 256; ++Mask) {
    this->fillBlocks(Mask);
    for (int Size = 1; Size <= MaxAcceleratorsPerWorker; ++Size) {
      int Divided = CellLevels;
      this->Picks[Mask][Size] =
          this->pickMember(static_cast<uint8_t>(Mask), Size, Divided);
      this->Divided[Mask][Size] = static_cast<uint8_t>(Divided);
      // Mask & ~Picked is smaller than Mask, so its row is filled in already.
      uint8_t Picked = this->Picks[Mask][Size];
      this->Capacities[Mask][Size] =
          Picked ? 1 + this->Capacities[Mask & ~Picked][Size] : 0;
    }
  }
}

void CellTable::fillBlocks(unsigned Mask) {
  unsigned Rest = Mask;
  for (int Level = CellLevels - 1; Level >= 0; --Level)
    for (int I = 0; I < cellsAt(Level); ++I) {
      unsigned Cell = cellMask(Level, I);
      if ((Rest & Cell) != Cell)
        continue;
      Rest &= ~Cell;
      ++this->Blocks[Mask][static_cast<size_t>(Level)];
    }
}

uint8_t CellTable::pickCell(uint8_t Mask, int Level, int &Divided) const {
  for (int From = Level; From < CellLevels; ++From)
    for (int I = 0; I < cellsAt(From); ++I) {
      uint8_t Cell = cellMask(From, I);
      if ((Mask & Cell) != Cell)
        continue;
      // Skip a cell that is part of a larger free cell: best fit divides the
      // larger one only if no smaller cell is free.
      bool Inner =
          From + 1 < CellLevels &&
          (Mask & cellMask(From + 1, I / 2)) == cellMask(From + 1, I / 2);
      if (Inner)
        continue;
      Divided = From;
      return cellMask(Level, I << (From - Level));
    }
  return 0;
}

uint8_t CellTable::pickMember(uint8_t Mask, int Size, int &Divided) const {
  uint8_t Picked = 0;
  int Largest = 0;
  for (int Level = CellLevels - 1; Level >= 0; --Level) {
    if (!(Size & (1 << Level)))
      continue;
    int From = CellLevels;
    uint8_t Cell =
        this->pickCell(static_cast<uint8_t>(Mask & ~Picked), Level, From);
    if (!Cell) {
      Divided = CellLevels;
      return 0;
    }
    Picked |= Cell;
    Largest = std::max(Largest, From);
  }
  Divided = Largest;
  return Picked;
}

} // namespace vanillayard
