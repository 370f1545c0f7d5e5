#ifndef VANILLAYARD_POLICY_WORKERHEALTH_H
#define VANILLAYARD_POLICY_WORKERHEALTH_H

#include "policy/PolicyNames.h"

#include "absl/time/time.h"

#include <cstddef>
#include <memory>
#include <span>

namespace vanillayard {

/// Excludes workers that fail what they start. Workers are indexes chosen by
/// the owner.
class WorkerHealth {
public:
  /// Allowance of a worker without restriction.
  static constexpr int Unrestricted = 1 << 20;

  virtual ~WorkerHealth() = default;

  static std::unique_ptr<WorkerHealth> create(HealthControl Control);

  /// Adds a healthy worker, also in place of one that was removed.
  virtual void add(size_t Worker) = 0;
  virtual void remove(size_t Worker) = 0;

  /// Most requests that may be in flight on the worker: 0 while it is ejected,
  /// 1 for the probe, then a number that doubles with successes.
  virtual int allowance(size_t Worker, absl::Time Now) = 0;

  virtual void onSuccess(size_t Worker, absl::Time Now) = 0;

  /// \param FailedBefore workers on which the same request failed before. If
  ///        \p Worker is otherwise sound, the fault is the request's and is
  ///        counted against none of them.
  virtual void onFailure(size_t Worker, std::span<const size_t> FailedBefore,
                         absl::Time Now) = 0;

  virtual size_t ejectedCount() const = 0;
};

} // namespace vanillayard

#endif
