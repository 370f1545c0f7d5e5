#ifndef VANILLAYARD_LOAD_WORKLOAD_H
#define VANILLAYARD_LOAD_WORKLOAD_H

#include "load/LoadStream.h"
#include "load/PlannedRequest.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <vector>

namespace vanillayard {

/// A bounded schedule of requests, fixed before the run. Equal streams and an
/// equal seed give an equal schedule. Each stream has its own random number
/// generator, so that adding a stream does not change the others.
class Workload {
public:
  class Builder {
  public:
    Builder &stream(LoadStream Value);
    /// Default 1.
    Builder &seed(uint64_t Value);
    /// Upper bound of the arrival times. Default 10 s, at most 10 min.
    Builder &duration(absl::Duration Value);
    /// build() rejects a workload with more arrivals. Default 200,000.
    Builder &maxRequests(size_t Value);
    /// Errors: InvalidArgument for a stream without callers, a rate that is
    /// not positive or finite, an empty list of gang sizes or a duration out
    /// of range; ResourceExhausted for more than maxRequests() arrivals.
    absl::StatusOr<Workload> build() const;

  private:
    std::vector<LoadStream> Streams;
    uint64_t Seed = 1;
    absl::Duration Duration = absl::Seconds(10);
    size_t MaxRequests = 200000;
  };

  static constexpr absl::Duration MaxDuration = absl::Minutes(10);

  const std::vector<LoadStream> &streams() const { return this->Streams; }
  /// Sorted by ScheduledTime.
  const std::vector<PlannedRequest> &requests() const { return this->Requests; }
  absl::Duration duration() const { return this->Duration; }

private:
  std::vector<LoadStream> Streams;
  std::vector<PlannedRequest> Requests;
  absl::Duration Duration;
};

} // namespace vanillayard

#endif
