#ifndef VANILLAYARD_LOAD_LOADSTREAM_H
#define VANILLAYARD_LOAD_LOADSTREAM_H

#include "base/Ids.h"

#include "absl/time/time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace vanillayard {

enum class ArrivalProcess {
  /// Independent arrivals at the given mean rate.
  Poisson,
  /// Groups of BurstSize arrivals at the same moment, at the same mean rate.
  Bursts,
};

/// A caller and its share of a stream's requests, relative to the weights of
/// the other callers.
struct WeightedCaller {
  CallerId Name;
  double Weight = 1;
};

/// A period, from the start of the run, in which a stream's rate is multiplied
/// by Factor.
struct FloodWindow {
  absl::Duration Begin;
  absl::Duration End;
  double Factor = 1;
};

/// Fields that only jobs have (POST /v1/jobs instead of /v1/requests).
struct JobShape {
  /// The number of members of each job is drawn uniformly from this list; 1
  /// means that the job is no gang.
  std::vector<int> GangSizes = {1};
  int AcceleratorsPerMember = 1;
  /// "worker", "rack" or "data_centre".
  std::string Adjacency = "data_centre";
  /// Declared run time divided by the real one.
  double DeclaredRunTimeFactor = 1;
  bool Checkpointable = false;
};

/// A class of callers that sends one kind of work for one client account.
struct LoadStream {
  /// Name of the class of callers in reports, such as "small".
  std::string Name;
  KindOfWorkId Kind;
  ClientAccountId Account;
  std::vector<WeightedCaller> Callers;

  ArrivalProcess Arrivals = ArrivalProcess::Poisson;
  /// Mean rate outside of floods, per second.
  double RatePerSecond = 1;
  int BurstSize = 1;
  std::vector<FloodWindow> Floods;
  /// Bounds of the arrival times, from the start of the run: arrivals lie in
  /// [Begin, End).
  absl::Duration Begin = absl::ZeroDuration();
  absl::Duration End = absl::InfiniteDuration();

  absl::Duration RunTime = absl::Milliseconds(100);
  size_t ResultBytes = 0;
  absl::Duration Deadline = absl::Seconds(30);
  bool Repeatable = true;

  bool IsJob = false;
  JobShape Job;
};

} // namespace vanillayard

#endif
