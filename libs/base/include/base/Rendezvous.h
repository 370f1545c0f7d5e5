#ifndef VANILLAYARD_BASE_RENDEZVOUS_H
#define VANILLAYARD_BASE_RENDEZVOUS_H

#include <cstdint>
#include <span>
#include <string_view>

namespace vanillayard {

/// 64-bit hash of \p Data that is the same in every process and build: FNV-1a
/// with the finalizer of MurmurHash3.
uint64_t stableHash(std::string_view Data);

/// Weight of \p Candidate for \p Key in rendezvous hashing.
uint64_t rendezvousWeight(std::string_view Key, std::string_view Candidate);

/// Returns the index of the candidate with the highest weight for \p Key, or
/// -1 if there are no candidates. When a candidate is removed, only the keys
/// assigned to it move.
template <typename Id>
int rendezvousWinner(std::string_view Key, std::span<const Id> Candidates) {
  int Best = -1;
  uint64_t BestWeight = 0;
  for (size_t I = 0; I < Candidates.size(); ++I) {
    uint64_t Weight = rendezvousWeight(Key, Candidates[I].str());
    if (Best >= 0 && (Weight < BestWeight ||
                      (Weight == BestWeight &&
                       Candidates[I] < Candidates[static_cast<size_t>(Best)])))
      continue;
    Best = static_cast<int>(I);
    BestWeight = Weight;
  }
  return Best;
}

} // namespace vanillayard

#endif
