#ifndef VANILLAYARD_REQUESTS_REQUESTCOUNTERS_H
#define VANILLAYARD_REQUESTS_REQUESTCOUNTERS_H

#include <cstdint>

namespace vanillayard {

/// Totals since the start of a request task.
struct RequestCounters {
  int64_t Submitted = 0;
  int64_t Answered = 0;
  int64_t Failed = 0;
  int64_t Attempts = 0;
  int64_t Retries = 0;
  int64_t Hedges = 0;
  /// Refusals by a worker that had no free slot.
  int64_t Requeued = 0;
  int64_t Forwarded = 0;
};

} // namespace vanillayard

#endif
