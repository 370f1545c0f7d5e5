#ifndef VANILLAYARD_STANDIN_WORKER_TASKBODY_H
#define VANILLAYARD_STANDIN_WORKER_TASKBODY_H

#include "absl/time/time.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace vanillayard {

/// What a task of the stand-in worker does, read from the body of its start.
///
/// A body that is a JSON object may set `run_ms` (time the task takes),
/// `result_bytes` (least size of the result) and `fail`. Any other body is a
/// task with default run time that succeeds.
struct TaskBody {
  /// Longest result that a task makes, in bytes.
  static constexpr size_t MaxResultBytes = 4 << 20;

  absl::Duration RunTime;
  size_t ResultBytes = 0;
  bool Fail = false;

  static TaskBody parse(std::string_view Body, absl::Duration DefaultRunTime);

  /// Body for a task, to be sent to a stand-in worker. \p Tag makes the
  /// digests of otherwise equal tasks differ.
  static std::string make(absl::Duration RunTime, std::string_view Tag = "",
                          size_t ResultBytes = 0, bool Fail = false);

  /// Result of the task that \p Owner started with \p Body: a JSON object
  /// with `owner`, `digest` of the body, and padding up to ResultBytes.
  std::string result(std::string_view Owner, std::string_view Body) const;

  /// True if \p Result is the whole result of a task with \p Body. An empty
  /// \p Owner matches every owner.
  static bool isResultOf(std::string_view Result, std::string_view Owner,
                         std::string_view Body);
};

} // namespace vanillayard

#endif
