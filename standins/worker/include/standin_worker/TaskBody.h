#ifndef VANILLAYARD_STANDIN_WORKER_TASKBODY_H
#define VANILLAYARD_STANDIN_WORKER_TASKBODY_H

#include "absl/time/time.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace vanillayard {

/// Behaviour of a task on the stand-in worker, parsed from the body of the
/// request that starts it.
///
/// A body that is a JSON object may set `run_ms` (run time in milliseconds),
/// `result_bytes` (minimum size of the result) and `fail`. Any other body
/// stands for a task that has the default run time and succeeds.
struct TaskBody {
  /// Upper bound of ResultBytes; a larger `result_bytes` is reduced to it.
  static constexpr size_t MaxResultBytes = 4 << 20;

  absl::Duration RunTime;
  /// Minimum size of the result, in bytes.
  size_t ResultBytes = 0;
  bool Fail = false;

  static TaskBody parse(std::string_view Body, absl::Duration DefaultRunTime);

  /// Encodes the body of a task for a stand-in worker. \p Tag makes the digests
  /// of otherwise equal tasks differ.
  static std::string make(absl::Duration RunTime, std::string_view Tag = "",
                          size_t ResultBytes = 0, bool Fail = false);

  /// Result of the task that \p Owner started with \p Body: a JSON object
  /// with `owner`, `digest` of the body, and padding up to ResultBytes.
  std::string result(std::string_view Owner, std::string_view Body) const;

  /// True if \p Result is the complete result of a task with \p Body. An empty
  /// \p Owner matches every owner.
  static bool isResultOf(std::string_view Result, std::string_view Owner,
                         std::string_view Body);
};

} // namespace vanillayard

#endif
