#ifndef VANILLAYARD_OBSERVE_TIMELINE_H
#define VANILLAYARD_OBSERVE_TIMELINE_H

#include "observe/TimelineEvent.h"

#include <cstddef>
#include <deque>

namespace vanillayard {

class HybridLogicalClock;

/// Ring buffer of the most recent events of one host.
class Timeline {
public:
  static constexpr size_t DefaultCapacity = 8192;

  Timeline(HostId Host, HybridLogicalClock &Clock,
           size_t Capacity = DefaultCapacity);

  /// Appends an event. Drops the oldest one if the buffer is full.
  void record(std::string Name, std::string Category, std::string Subject,
              TimelinePhase Phase = TimelinePhase::Instant,
              TimelineEvent::Arguments Args = {});

  /// Returns the oldest events with a sequence number above \p Sequence, in
  /// order, at most \p Limit of them.
  std::vector<TimelineEvent> eventsSince(uint64_t Sequence,
                                         size_t Limit = DefaultCapacity) const;
  /// Returns the same events in the JSON Lines format.
  std::string jsonLinesSince(uint64_t Sequence,
                             size_t Limit = DefaultCapacity) const;

  /// Sequence number of the last event, or 0 if there are none.
  uint64_t lastSequence() const { return this->LastSequence; }

private:
  HostId Host;
  HybridLogicalClock &Clock;
  size_t Capacity;
  uint64_t LastSequence = 0;
  std::deque<TimelineEvent> Events;
};

} // namespace vanillayard

#endif
