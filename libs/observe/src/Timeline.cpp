#include "observe/Timeline.h"

#include "observe/HybridLogicalClock.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace vanillayard {

std::string TimelineEvent::toJson() const {
  using Json = nlohmann::ordered_json;
  Json Arguments = Json::object();
  for (const auto &[Key, Value] : this->Args)
    Arguments[Key] = Value;
  Json Line = Json::object();
  Line["host"] = this->Host.str();
  Line["sequence"] = this->Sequence;
  Line["hlc_physical_us"] = this->Time.PhysicalUs;
  Line["hlc_logical"] = this->Time.Logical;
  Line["name"] = this->Name;
  Line["category"] = this->Category;
  Line["subject"] = this->Subject;
  Line["phase"] = std::string(TimelinePhaseNames.nameOf(this->Phase));
  Line["args"] = std::move(Arguments);
  return Line.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Timeline::Timeline(HostId Host, HybridLogicalClock &Clock, size_t Capacity)
    : Host(std::move(Host)), Clock(Clock),
      Capacity(std::max<size_t>(Capacity, 1)) {}

void Timeline::record(std::string Name, std::string Category,
                      std::string Subject, TimelinePhase Phase,
                      TimelineEvent::Arguments Args) {
  if (this->Events.size() >= this->Capacity)
    this->Events.pop_front();
  this->Events.push_back({this->Host, ++this->LastSequence, this->Clock.now(),
                          std::move(Name), std::move(Category),
                          std::move(Subject), Phase, std::move(Args)});
}

std::vector<TimelineEvent> Timeline::eventsSince(uint64_t Sequence,
                                                 size_t Limit) const {
  // The sequence numbers in the buffer have no gaps, so the index of an event
  // follows from its number.
  uint64_t Oldest = this->LastSequence - this->Events.size() + 1;
  uint64_t First = std::max(Sequence + 1, Oldest);
  if (Sequence >= this->LastSequence)
    return {};
  auto Begin = this->Events.begin() + static_cast<ptrdiff_t>(First - Oldest);
  size_t Count = std::min<size_t>(Limit, this->LastSequence - First + 1);
  return {Begin, Begin + static_cast<ptrdiff_t>(Count)};
}

std::string Timeline::jsonLinesSince(uint64_t Sequence, size_t Limit) const {
  std::string Lines;
  for (const TimelineEvent &Event : this->eventsSince(Sequence, Limit))
    (Lines += Event.toJson()) += '\n';
  return Lines;
}

} // namespace vanillayard
