#include "AllocationCount.h"

#include <cstdlib>
#include <new>

static size_t Allocations = 0;

size_t allocationCount() {
  return Allocations;
}

void *operator new(size_t Size) {
  ++Allocations;
  if (void *Block = std::malloc(Size))
    return Block;
  std::abort();
}

void operator delete(void *Block) noexcept {
  std::free(Block);
}

void operator delete(void *Block, size_t) noexcept {
  std::free(Block);
}
