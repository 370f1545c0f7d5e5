#ifndef VANILLAYARD_STANDIN_WORKER_WORKERFAULTS_H
#define VANILLAYARD_STANDIN_WORKER_WORKERFAULTS_H

#include "absl/time/time.h"

namespace vanillayard {

/// Faults of a worker's answers, applied by whatever carries the answers of a
/// WorkerModel (FakeFleetClient or the HTTP server of the stand-in).
///
/// The counters say how many of the next answers are affected; a negative
/// counter affects every answer.
struct WorkerFaults {
  static constexpr int Always = -1;

  /// Takes calls and answers none until it is false again; then the calls
  /// that waited are carried out.
  bool Frozen = false;
  /// Every answer is sent this much later.
  absl::Duration AnswerDelay;
  /// The worker acts and its answer is lost.
  int LoseAnswers = 0;
  /// An answer with a task result is replaced by that of another request.
  int CrossAnswers = 0;
  /// The answer ends before its declared end.
  int TruncateAnswers = 0;

  /// Counts one use of \p Counter. Returns true if the fault applies.
  static bool consume(int &Counter);
};

} // namespace vanillayard

#endif
