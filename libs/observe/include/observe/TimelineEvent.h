#ifndef VANILLAYARD_OBSERVE_TIMELINEEVENT_H
#define VANILLAYARD_OBSERVE_TIMELINEEVENT_H

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "observe/HlcTime.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace vanillayard {

enum class TimelinePhase { Begin, End, Instant };

inline constexpr EnumNames<TimelinePhase, 3>
    TimelinePhaseNames({{{TimelinePhase::Begin, "B"},
                         {TimelinePhase::End, "E"},
                         {TimelinePhase::Instant, "i"}}});

/// One event of a host's timeline.
struct TimelineEvent {
  using Arguments = std::vector<std::pair<std::string, std::string>>;

  HostId Host;
  /// Increases by one with every event of the host, from 1.
  uint64_t Sequence = 0;
  HlcTime Time;
  std::string Name;
  /// Part of the system, such as "jobs".
  std::string Category;
  /// Id of the job, request, worker or host that the event is about.
  std::string Subject;
  TimelinePhase Phase = TimelinePhase::Instant;
  Arguments Args;

  /// One line of JSON without the line feed. Bytes that are not valid UTF-8
  /// are replaced.
  std::string toJson() const;
};

} // namespace vanillayard

#endif
