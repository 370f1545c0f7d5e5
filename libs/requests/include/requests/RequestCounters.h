#ifndef VANILLAYARD_REQUESTS_REQUESTCOUNTERS_H
#define VANILLAYARD_REQUESTS_REQUESTCOUNTERS_H

#include <cstdint>

namespace vanillayard {

/// Numbers of events since a RequestTask was created.
struct RequestCounters {
  int64_t Submitted = 0;
  int64_t Answered = 0;
  int64_t Failed = 0;
  int64_t Attempts = 0;
  int64_t Retries = 0;
  int64_t Hedges = 0;
  /// Times that a request was put ahead of the queue: after a worker refused
  /// it for lack of a free slot, after a backoff, or when no slot was reserved
  /// for it.
  int64_t Requeued = 0;
  int64_t Forwarded = 0;
};

} // namespace vanillayard

#endif
