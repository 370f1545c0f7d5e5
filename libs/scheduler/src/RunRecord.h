#ifndef VANILLAYARD_SCHEDULER_RUNRECORD_H
#define VANILLAYARD_SCHEDULER_RUNRECORD_H

#include "base/Ids.h"
#include "fleet/Resources.h"
#include "fleet/TaskKey.h"

#include "absl/time/time.h"

#include <cstdint>

namespace vanillayard {

struct WorkerState;

/// Phase of a run, as far as orders, answers and reports have shown it.
enum class RunPhase {
  /// Resources are committed; no start order has been sent.
  Reserved,
  /// The start order was returned by plan() and has no answer yet.
  Starting,
  Running,
  /// A stop order is due or was sent; no report has shown the end yet.
  Stopping,
};

/// One run of a task, from its placement until its end is known.
struct RunRecord {
  TaskKey Task;
  int64_t Run = 0;
  WorkerState *Worker = nullptr;
  RunPhase Phase = RunPhase::Reserved;
  Resources Need;
  int Priority = 0;
  ClientAccountId Account;
  bool IsGangMember = false;
  bool IsCheckpointing = false;
  /// The start order was not answered: the worker may have carried it out, may
  /// do so later, or never.
  bool IsUncertain = false;
  /// If IsUncertain: when the last attempt to start it was given up.
  absl::Time GivenUpAt = absl::InfinitePast();
  /// If IsUncertain: when the run has ended at the latest if an incarnation of
  /// the worker that is not known yet has started it.
  absl::Time HeldUntil = absl::InfinitePast();
  /// Version of the job's placements that holds this run. The start order is
  /// sent only after that version is recorded.
  int64_t PlacementVersion = 0;
  absl::Time ReservedAt;
  absl::Time StartedAt;
  /// When the worker last answered an order for this run. A report that was
  /// requested later and does not list the run proves that it is over.
  absl::Time AnsweredAt = absl::InfiniteFuture();
  /// When the stop order was last sent. It is sent again until the worker
  /// accepts it.
  absl::Time StopSentAt = absl::InfinitePast();
  bool IsStopAccepted = false;
  /// Progress and clock of the worker at the beginning of the current
  /// observation of the run's rate; negative before the first report.
  double ObservedFrom = -1;
  absl::Duration ObservedFromClock = absl::ZeroDuration();
  /// StartedAt is when this leader sent the order, not when it took the run
  /// over.
  bool IsStartKnown = false;
  /// Number of rates of the run that were learned from.
  int ObservedRates = 0;
  /// Completed share of the work by the last report, 0 to 1.
  double Completed = 0;
};

} // namespace vanillayard

#endif
