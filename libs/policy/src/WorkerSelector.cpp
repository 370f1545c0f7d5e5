#include "policy/WorkerSelector.h"

#include <algorithm>

namespace vanillayard {

// Random draws before the search goes over all workers; at 50% usable workers
// a search is needed once in 65,000 choices.
static constexpr int MaxDraws = 16;

static bool isAllowed(std::span<const WorkerCandidate> Workers,
                      std::span<const size_t> Tried, size_t Index) {
  return Workers[Index].isUsable() &&
         std::find(Tried.begin(), Tried.end(), Index) == Tried.end();
}

/// Draws usable workers at random.
class RandomSelector : public WorkerSelector {
public:
  explicit RandomSelector(uint64_t Seed) : Random(Seed) {}

  std::optional<size_t> pick(std::span<const WorkerCandidate> Workers,
                             std::span<const size_t> Tried) override {
    return this->draw(Workers, Tried);
  }

protected:
  std::optional<size_t> draw(std::span<const WorkerCandidate> Workers,
                             std::span<const size_t> Tried) {
    if (Workers.empty())
      return std::nullopt;
    for (int I = 0; I < MaxDraws; ++I) {
      size_t Index = this->Random() % Workers.size();
      if (isAllowed(Workers, Tried, Index))
        return Index;
    }
    size_t Start = this->Random() % Workers.size();
    for (size_t I = 0; I < Workers.size(); ++I) {
      size_t Index = (Start + I) % Workers.size();
      if (isAllowed(Workers, Tried, Index))
        return Index;
    }
    return std::nullopt;
  }

private:
  std::mt19937_64 Random;
};

/// Draws two usable workers and takes the one with more room. Several hosts
/// with the same view do not all choose the same worker, as they would if each
/// took the one with most room.
class PowerOfTwoSelector final : public RandomSelector {
public:
  using RandomSelector::RandomSelector;

  std::optional<size_t> pick(std::span<const WorkerCandidate> Workers,
                             std::span<const size_t> Tried) override {
    auto First = this->draw(Workers, Tried);
    if (!First)
      return std::nullopt;
    auto Second = this->draw(Workers, Tried);
    return Workers[*Second].room() > Workers[*First].room() ? Second : First;
  }
};

std::unique_ptr<WorkerSelector> WorkerSelector::create(WorkerChoice Choice,
                                                       uint64_t Seed) {
  if (Choice == WorkerChoice::Random)
    return std::make_unique<RandomSelector>(Seed);
  return std::make_unique<PowerOfTwoSelector>(Seed);
}

} // namespace vanillayard
