#ifndef VANILLAYARD_POLICY_WORKERSELECTOR_H
#define VANILLAYARD_POLICY_WORKERSELECTOR_H

#include "policy/PolicyNames.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <random>
#include <span>

namespace vanillayard {

/// What the choice of a worker depends on.
struct WorkerCandidate {
  /// Free slots of the last view.
  int FreeSlots = 0;
  /// Requests that this host sent since that view and that have not ended.
  int SentSinceView = 0;
  /// Requests of this host in flight.
  int InFlight = 0;
  /// Most requests of this host in flight: the least of the concurrency limit
  /// and the allowance of the worker's health; 0 when ejected.
  int Limit = 0;
  bool Draining = false;

  int room() const { return this->FreeSlots - this->SentSinceView; }
  bool isUsable() const {
    return !this->Draining && this->InFlight<this->Limit &&this->room()> 0;
  }
};

/// Chooses the worker of a short request.
class WorkerSelector {
public:
  virtual ~WorkerSelector() = default;

  static std::unique_ptr<WorkerSelector> create(WorkerChoice Choice,
                                                uint64_t Seed);

  /// \param Tried indexes of workers that the request must not go to again.
  /// \returns the index of a usable worker, or nothing when there is none.
  virtual std::optional<size_t> pick(std::span<const WorkerCandidate> Workers,
                                     std::span<const size_t> Tried) = 0;
};

} // namespace vanillayard

#endif
