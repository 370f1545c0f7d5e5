#include "policy/WorkerSelector.h"

#include <algorithm>

namespace vanillayard {

// Maximum number of random draws before a linear search over all workers. If
// 50% of the workers are usable, the linear search runs once in 65,000 choices.
static constexpr int MaxDraws = 16;

static bool isAllowed(std::span<const WorkerCandidate> Workers,
                      std::span<const size_t> Tried, size_t Index) {
  return Workers[Index].isUsable() &&
         std::find(Tried.begin(), Tried.end(), Index) == Tried.end();
}

/// Chooses a usable worker at random.
class RandomSelector : public WorkerSelector {
public:
  explicit RandomSelector(uint64_t Seed) : Random(Seed) {}

  std::optional<size_t> pick(std::span<const WorkerCandidate> Workers,
                             std::span<const size_t> Tried) override {
    return this->drawWorker(Workers, Tried);
  }

protected:
  std::optional<size_t> drawWorker(std::span<const WorkerCandidate> Workers,
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

/// Power of two choices: draws two usable workers at random and chooses the one
/// with more free slots. If each host chose the worker with the most free slots
/// instead, all hosts that know the same worker states would choose the same
/// worker.
class PowerOfTwoSelector final : public RandomSelector {
public:
  using RandomSelector::RandomSelector;

  std::optional<size_t> pick(std::span<const WorkerCandidate> Workers,
                             std::span<const size_t> Tried) override {
    auto First = this->drawWorker(Workers, Tried);
    if (!First)
      return std::nullopt;
    auto Second = this->drawWorker(Workers, Tried);
    return Workers[*Second].estimatedFreeSlots() >
                   Workers[*First].estimatedFreeSlots()
               ? Second
               : First;
  }
};

std::unique_ptr<WorkerSelector> WorkerSelector::create(WorkerChoice Choice,
                                                       uint64_t Seed) {
  if (Choice == WorkerChoice::Random)
    return std::make_unique<RandomSelector>(Seed);
  return std::make_unique<PowerOfTwoSelector>(Seed);
}

} // namespace vanillayard
