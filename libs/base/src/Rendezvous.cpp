#include "base/Rendezvous.h"

namespace vanillayard {

static constexpr uint64_t FnvOffset = 0xcbf29ce484222325ULL;
static constexpr uint64_t FnvPrime = 0x100000001b3ULL;

// Finalizer of MurmurHash3 (fmix64). FNV-1a alone leaves the high bits of
// short, similar names correlated.
static uint64_t fmix64(uint64_t Value) {
  Value ^= Value >> 33;
  Value *= 0xff51afd7ed558ccdULL;
  Value ^= Value >> 33;
  Value *= 0xc4ceb9fe1a85ec53ULL;
  Value ^= Value >> 33;
  return Value;
}

uint64_t stableHash(std::string_view Data) {
  uint64_t Hash = FnvOffset;
  for (char C : Data) {
    Hash ^= static_cast<unsigned char>(C);
    Hash *= FnvPrime;
  }
  return fmix64(Hash);
}

uint64_t rendezvousWeight(std::string_view Key, std::string_view Candidate) {
  return fmix64(stableHash(Key) ^ (stableHash(Candidate) * FnvPrime));
}

} // namespace vanillayard
