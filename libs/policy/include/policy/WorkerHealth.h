#ifndef VANILLAYARD_POLICY_WORKERHEALTH_H
#define VANILLAYARD_POLICY_WORKERHEALTH_H

#include "policy/PolicyNames.h"

#include "absl/time/time.h"

#include <cstddef>
#include <memory>
#include <span>

namespace vanillayard {

/// Ejects workers on which requests fail (outlier detection), at most a third
/// of them at a time. The caller identifies workers by indexes of its choice.
class WorkerHealth {
public:
  /// Allowance of a healthy worker; in effect no limit.
  static constexpr int Unrestricted = 1 << 20;

  virtual ~WorkerHealth() = default;

  static std::unique_ptr<WorkerHealth> create(HealthControl Control);

  /// Adds a worker as healthy. May reuse the index of a removed worker.
  virtual void add(size_t Worker) = 0;
  virtual void remove(size_t Worker) = 0;

  /// Maximum number of requests in flight on the worker: 0 while it is ejected,
  /// then 1 as a probe, then doubled by each success until it is Unrestricted.
  virtual int allowance(size_t Worker, absl::Time Now) = 0;

  virtual void onSuccess(size_t Worker, absl::Time Now) = 0;

  /// \param FailedBefore workers on which the same request failed before. If it
  ///        is not empty and \p Worker is healthy, the request is taken to be
  ///        the cause, and its failures are counted against none of them.
  virtual void onFailure(size_t Worker, std::span<const size_t> FailedBefore,
                         absl::Time Now) = 0;

  /// Number of workers that are ejected now.
  virtual size_t ejectedCount() const = 0;
};

} // namespace vanillayard

#endif
