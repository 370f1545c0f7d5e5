#include "observe/Log.h"

#include "base/ErrorKind.h"
#include "base/Ids.h"
#include "base/VirtualExecutor.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace vanillayard;

class LogTest : public testing::Test {
protected:
  VirtualExecutor Exec{absl::FromUnixMicros(1700000000000001)};
  std::vector<std::string> Lines;
  Log Output{Exec,
             [this](std::string_view Line) { this->Lines.emplace_back(Line); }};
};

// Guards against a value that breaks the line or cannot be told from the next
// field, and against output below the minimum level.
TEST_F(LogTest, QuotesValuesWithinOneLine) {
  this->Output.warning("jobs", "lease \"a\"\nlost",
                       {{"worker", WorkerId("dc1-w3")},
                        {"n", 3},
                        {"note", "a b"},
                        {"empty", ""},
                        {"held", absl::Milliseconds(1500)},
                        {"ok", true},
                        {"why", makeError(ErrorKind::QueueFull, "full=1")},
                        {"raw", absl::UnavailableError("x")}});
  this->Output.debug("jobs", "not enabled");
  ASSERT_EQ(this->Lines.size(), 1u);
  EXPECT_EQ(this->Lines[0],
            "2023-11-14T22:13:20.000001Z warning jobs "
            "\"lease \\\"a\\\"\\nlost\" worker=dc1-w3 n=3 note=\"a b\" "
            "empty=\"\" held=1.5s ok=true why=\"queue_full: full=1\" "
            "raw=\"UNAVAILABLE: x\"\n");
}

// Guards against a change of the leader that is missing in the log because the
// lines of many requests have used up the rate limit.
TEST_F(LogTest, ManyRequestsDoNotSuppressOtherMessages) {
  for (int I = 0; I < 5000; ++I)
    this->Output.write(LogLevel::Info, "scheduler", "job is known", {{"n", I}},
                       "known: " + std::to_string(I));
  size_t Before = this->Lines.size();
  this->Output.info("role", "this host is the leader");
  EXPECT_EQ(this->Lines.size(), Before + 1);
}

// Guards against a flood of equal lines that fills the output, also when each
// line has a rate key of its own.
TEST_F(LogTest, LimitsFloodsAndCountsSuppressedLines) {
  for (int I = 0; I < 1000; ++I)
    this->Output.info("net", "refused", {{"n", I}});
  EXPECT_EQ(this->Lines.size(), size_t(Log::LinesPerWindow));
  this->Exec.advance(Log::Window);
  this->Output.info("net", "refused");
  EXPECT_NE(this->Lines.back().find("suppressed=980"), std::string::npos);
  for (int I = 0; I < 1000; ++I)
    this->Output.info("net", "refused");
  this->Exec.advance(Log::Window);
  this->Lines.clear();
  this->Output.flushSuppressed();
  ASSERT_EQ(this->Lines.size(), 1u);
  EXPECT_NE(this->Lines[0].find("key=\"net: refused\" suppressed=981"),
            std::string::npos);

  this->Lines.clear();
  for (int I = 0; I < 100000; ++I)
    this->Output.write(LogLevel::Info, "net", "refused", {},
                       "key" + std::to_string(I));
  EXPECT_LE(this->Lines.size(), RateLimiter::MaxKeys + Log::LinesPerWindow);
}
