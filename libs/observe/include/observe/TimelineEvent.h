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
  /// Sequence number among the events of the host, from 1, without gaps.
  uint64_t Sequence = 0;
  HlcTime Time;
  std::string Name;
  /// Component that recorded the event, such as "jobs".
  std::string Category;
  /// Id of the job, request, worker or host that the event is about.
  std::string Subject;
  TimelinePhase Phase = TimelinePhase::Instant;
  Arguments Args;

  /// Formats the event as one line of JSON without a line feed. Replaces bytes
  /// that are not valid UTF-8 by U+FFFD.
  std::string toJson() const;
};

} // namespace vanillayard

#endif
