#ifndef VANILLAYARD_STANDIN_WORKER_WORKERFAULTS_H
#define VANILLAYARD_STANDIN_WORKER_WORKERFAULTS_H

#include "absl/time/time.h"

namespace vanillayard {

/// Faults injected into a worker's answers. The transport of a WorkerModel
/// (FakeFleetClient or the HTTP server of the stand-in) applies them.
///
/// A counter is the number of following answers that the fault affects; a
/// negative counter affects every answer.
struct WorkerFaults {
  static constexpr int Always = -1;

  /// Calls are accepted and queued; they are executed and answered only when
  /// this is false again.
  bool Frozen = false;
  /// Delay added to every answer.
  absl::Duration AnswerDelay;
  /// The worker executes the call, but its answer is lost.
  int LoseAnswers = 0;
  /// An answer with a task result is replaced by the answer to another request.
  int CrossAnswers = 0;
  /// The answer ends before its declared length.
  int TruncateAnswers = 0;

  /// Returns true if the fault applies to the next answer, and decrements
  /// \p Counter if it is positive.
  static bool consume(int &Counter);
};

} // namespace vanillayard

#endif
