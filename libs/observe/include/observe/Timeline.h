#ifndef VANILLAYARD_OBSERVE_TIMELINE_H
#define VANILLAYARD_OBSERVE_TIMELINE_H

#include "observe/TimelineEvent.h"

#include <cstddef>
#include <deque>

namespace vanillayard {

class HybridLogicalClock;

/// The last events of one host, in a bounded ring.
class Timeline {
public:
  static constexpr size_t DefaultCapacity = 8192;

  Timeline(HostId Host, HybridLogicalClock &Clock,
           size_t Capacity = DefaultCapacity);

  /// Appends an event; the oldest one is dropped when the ring is full.
  void record(std::string Name, std::string Category, std::string Subject,
              TimelinePhase Phase = TimelinePhase::Instant,
              TimelineEvent::Arguments Args = {});

  /// At most \p Limit events with a sequence above \p Sequence, oldest first.
  std::vector<TimelineEvent> since(uint64_t Sequence,
                                   size_t Limit = DefaultCapacity) const;
  /// The same as JSON lines.
  std::string jsonLinesSince(uint64_t Sequence,
                             size_t Limit = DefaultCapacity) const;

  /// Sequence of the last event, 0 without events.
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
