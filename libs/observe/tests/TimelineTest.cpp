#include "observe/Timeline.h"

#include "base/VirtualExecutor.h"
#include "observe/HybridLogicalClock.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

using namespace vanillayard;

// Guards against lost or repeated events for a reader that continues from the
// last sequence number that it has read.
RC_GTEST_PROP(TimelineTest, SinceReturnsTheStoredEvents, ()) {
  VirtualExecutor Exec;
  HybridLogicalClock Clock(Exec);
  auto Capacity = *rc::gen::inRange<uint64_t>(1, 20);
  auto Count = *rc::gen::inRange<uint64_t>(0, 50);
  Timeline Events(HostId("e1"), Clock, Capacity);
  for (uint64_t I = 1; I <= Count; ++I)
    Events.record(std::to_string(I), "c", "s");
  auto Since = *rc::gen::inRange<uint64_t>(0, 60);
  auto Limit = *rc::gen::inRange<uint64_t>(0, 60);
  std::vector<std::string> Expected;
  for (uint64_t I = 1; I <= Count && Expected.size() < Limit; ++I)
    if (I > Since && I + Capacity > Count)
      Expected.push_back(std::to_string(I));
  std::vector<std::string> Got;
  for (const TimelineEvent &Event : Events.eventsSince(Since, Limit)) {
    RC_ASSERT(std::to_string(Event.Sequence) == Event.Name);
    Got.push_back(Event.Name);
  }
  RC_ASSERT(Got == Expected);
}

// Guards against changed field names and against bytes that are not UTF-8 in
// the JSON lines.
TEST(TimelineTest, JsonLinesHoldAllFieldsAsValidUtf8) {
  VirtualExecutor Exec(absl::FromUnixMicros(5));
  HybridLogicalClock Clock(Exec);
  Timeline Events(HostId("e1"), Clock);
  Events.record("gang", "jobs", "j\xff", TimelinePhase::Begin, {{"n", "4"}});
  Events.record("gang", "jobs", "j1", TimelinePhase::End);
  std::string Lines = Events.jsonLinesSince(0);
  auto First =
      nlohmann::json::parse(Lines.substr(0, Lines.find('\n')), nullptr, false);
  EXPECT_EQ(First, nlohmann::json::parse(
                       "{\"host\":\"e1\",\"sequence\":1,\"hlc_physical_us\":5,"
                       "\"hlc_logical\":0,\"name\":\"gang\","
                       "\"category\":\"jobs\",\"subject\":\"j\\ufffd\","
                       "\"phase\":\"B\",\"args\":{\"n\":\"4\"}}"));
  EXPECT_EQ(std::count(Lines.begin(), Lines.end(), '\n'), 2);
}
