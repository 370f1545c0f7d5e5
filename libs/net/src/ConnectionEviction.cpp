#include "ConnectionEviction.h"

#include "absl/container/flat_hash_map.h"

#include <tuple>

namespace vanillayard {

std::optional<size_t>
chooseToFreeMemory(const std::vector<ConnectionUse> &Connections) {
  absl::flat_hash_map<uint32_t, size_t> BytesOf;
  for (const ConnectionUse &Use : Connections)
    BytesOf[Use.Client] += Use.InputBytes;
  std::optional<size_t> Best;
  // Larger is better: the client's bytes, the connection's bytes, inactivity.
  std::tuple<size_t, size_t, absl::Duration> BestScore;
  for (size_t I = 0; I < Connections.size(); ++I) {
    const ConnectionUse &Use = Connections[I];
    bool IsCandidate = Use.Phase == ConnectionPhase::Idle ||
                       Use.Phase == ConnectionPhase::Receiving;
    if (!IsCandidate || Use.InputBytes == 0)
      continue;
    std::tuple<size_t, size_t, absl::Duration> Score(
        BytesOf[Use.Client], Use.InputBytes, absl::UnixEpoch() - Use.ActiveAt);
    if (Best && Score <= BestScore)
      continue;
    Best = I;
    BestScore = Score;
  }
  return Best;
}

/// Order in which the connections of a client are closed; higher is earlier, 0
/// is never.
static int closingRank(ConnectionPhase Phase, double ClientShare) {
  switch (Phase) {
  case ConnectionPhase::Idle:
    return 3;
  case ConnectionPhase::Receiving:
  case ConnectionPhase::Sending:
    return 2;
  case ConnectionPhase::Handling:
    return ClientShare > MaxHandlingShare ? 1 : 0;
  case ConnectionPhase::Closing:
    return 0;
  }
  return 0;
}

std::optional<size_t>
chooseToMakeRoom(const std::vector<ConnectionUse> &Connections) {
  absl::flat_hash_map<uint32_t, size_t> CountOf;
  size_t Sum = 0;
  for (const ConnectionUse &Use : Connections) {
    if (Use.Phase == ConnectionPhase::Closing)
      continue;
    ++CountOf[Use.Client];
    ++Sum;
  }
  std::optional<size_t> Best;
  // Larger is better: the client's connections, the rank, inactivity.
  std::tuple<size_t, int, absl::Duration> BestScore;
  for (size_t I = 0; I < Connections.size(); ++I) {
    const ConnectionUse &Use = Connections[I];
    size_t Count = CountOf[Use.Client];
    int Rank = closingRank(Use.Phase, static_cast<double>(Count) /
                                          static_cast<double>(Sum));
    std::tuple<size_t, int, absl::Duration> Score(
        Count, Rank, absl::UnixEpoch() - Use.ActiveAt);
    if (Rank == 0 || (Best && Score <= BestScore))
      continue;
    Best = I;
    BestScore = Score;
  }
  return Best;
}

} // namespace vanillayard
