#ifndef VANILLAYARD_POLICY_WORKERSELECTOR_H
#define VANILLAYARD_POLICY_WORKERSELECTOR_H

#include "policy/PolicyNames.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <random>
#include <span>

namespace vanillayard {

/// State of a worker that its selection depends on.
struct WorkerCandidate {
  /// Free slots at the worker's last capacity report.
  int FreeSlots = 0;
  /// Requests that this host sent after that report and that have not ended.
  int SentSinceReport = 0;
  /// Requests of this host in flight on the worker.
  int InFlight = 0;
  /// Maximum number of requests of this host in flight on the worker: the
  /// smaller of its concurrency limit and its health allowance; 0 while it is
  /// ejected.
  int Limit = 0;
  bool Draining = false;

  /// Estimated number of free slots now; may be negative.
  int estimatedFreeSlots() const {
    return this->FreeSlots - this->SentSinceReport;
  }
  bool isUsable() const {
    return !this->Draining &&
           this->InFlight<this->Limit &&this->estimatedFreeSlots()> 0;
  }
};

/// Chooses the worker that runs a short request.
class WorkerSelector {
public:
  virtual ~WorkerSelector() = default;

  static std::unique_ptr<WorkerSelector> create(WorkerChoice Choice,
                                                uint64_t Seed);

  /// \param Tried indexes of workers that must not receive the request again.
  /// \returns the index of a usable worker, or nothing if there is none.
  virtual std::optional<size_t> pick(std::span<const WorkerCandidate> Workers,
                                     std::span<const size_t> Tried) = 0;
};

} // namespace vanillayard

#endif
