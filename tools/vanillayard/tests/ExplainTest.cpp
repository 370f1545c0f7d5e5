#include "HostLogs.h"
#include "JobExplanation.h"

#include <gtest/gtest.h>

#include <sstream>

using namespace vanillayard;

static const std::string Id = "5c0e7a21d94b36f8";

namespace {

class ExplainTest : public testing::Test {
protected:
  void add(const std::string &Host, const std::string &Lines) {
    std::istringstream Text(
        "2026-01-01T00:00:00.000000Z info host \"started\" host=" + Host +
        "\n" + Lines);
    this->Logs.addLog(Text, "file");
  }
  std::string cause() { return JobExplanation(this->Logs.lines(), Id).cause(); }

  HostLogs Logs;
};

} // namespace

// Guards against quoted values that end at a space or at an escaped quote.
TEST(LogLineTest, QuotedValuesAreRead) {
  auto Line = LogLine::parse("2026-01-01T00:00:01.500000Z warning role "
                             "\"renewal failed\" error=\"status \\\"503\\\"\" "
                             "since=1.7s suppressed=3");
  ASSERT_TRUE(Line);
  EXPECT_EQ(Line->Component, "role");
  EXPECT_EQ(Line->Message, "renewal failed");
  EXPECT_EQ(Line->field("error"), "status \"503\"");
  EXPECT_EQ(Line->field("suppressed"), "3");
  EXPECT_EQ(Line->field("none"), "");
}

// Guards against parsing other output in a log file, such as a crash report.
TEST(LogLineTest, OtherTextIsNotALogLine) {
  for (const char *Text :
       {"", "listening 10.0.0.1:1 callers", "2026", "2026-01-01T00:00:01Z info",
        "a b c d", "2026-01-01T00:00:01Z info x \"open",
        "2026-01-01T00:00:01Z info x \"m\" loose"})
    EXPECT_FALSE(LogLine::parse(Text)) << Text;
}

// Guards against lines in the wrong order when the clocks of hosts differ: the
// second clock is 20 s ahead.
TEST_F(ExplainTest, ClocksAreCorrected) {
  this->add("h1", "2026-01-01T00:00:10.000000Z info configuration "
                  "\"configuration is in force\" version=3\n"
                  "2026-01-01T00:00:11.000000Z info caller \"submit\" job=" +
                      Id + " outcome=accepted error=none\n");
  this->add("h2", "2026-01-01T00:00:50.000000Z info scheduler \"job is over\" "
                  "job=" +
                      Id +
                      " state=cancelled reason=\"cancelled by its client "
                      "account\"\n"
                      "2026-01-01T00:00:30.000000Z info configuration "
                      "\"configuration is in force\" version=3\n");
  std::vector<LogLine> Lines = JobExplanation(this->Logs.lines(), Id).lines();
  ASSERT_EQ(Lines.size(), 2U);
  EXPECT_EQ(Lines[0].Host, "h1");
  EXPECT_EQ(Lines[1].Host, "h2");
  EXPECT_EQ(this->Logs.clockCorrections()["h2"], absl::Seconds(-20));
  EXPECT_EQ(this->cause(), "cancelled by its client account");
}

// Guards against an explanation that omits the error kind or its title.
TEST_F(ExplainTest, RefusalShowsItsReason) {
  this->add("h1", "2026-01-01T00:00:11.000000Z info caller \"submit\" job=" +
                      Id + " outcome=refused error=unauthenticated\n");
  EXPECT_EQ(this->cause(), "h1 refused it as unauthenticated: The caller's key "
                           "is not known");
}

// Guards against reporting a missing answer of the store as a refusal.
TEST_F(ExplainTest, LostAnswerOfTheStoreIsShown) {
  this->add("h1", "2026-01-01T00:00:11.000000Z info caller \"submit\" job=" +
                      Id + " outcome=refused error=outcome_unknown\n");
  EXPECT_NE(this->cause().find("no answer from the store"), std::string::npos);
}

// Guards against an explanation that omits the preempted runs for which the job
// waited.
TEST_F(ExplainTest, WaitForPreemptedRunsIsShown) {
  this->add(
      "h1",
      "2026-01-01T00:00:11.000000Z info scheduler \"job is known\" job=" + Id +
          "\n"
          "2026-01-01T00:00:11.100000Z info scheduler \"run is "
          "preempted\" job=other for=" +
          Id +
          "\n"
          "2026-01-01T00:00:12.000000Z info scheduler \"tasks are "
          "started\" job=" +
          Id +
          " step=0 waited=1s\n"
          "2026-01-01T00:00:14.000000Z info scheduler \"job is over\" "
          "job=" +
          Id + " state=done\n");
  EXPECT_EQ(this->cause(), "done; step 0 waited 1s for its start: runs that "
                           "were stopped for it, of job other");
}

// Guards against attributing a wait during a takeover to missing capacity.
TEST_F(ExplainTest, TakeoverDuringTheWaitIsShown) {
  this->add(
      "h1",
      "2026-01-01T00:00:11.000000Z info scheduler \"job is known\" job=" + Id +
          "\n"
          "2026-01-01T00:00:14.000000Z info leader \"all runs of earlier "
          "leaders are known\" fence=9 after=3.4s\n"
          "2026-01-01T00:00:14.100000Z info scheduler \"tasks are "
          "started\" job=" +
          Id + " step=0 waited=3.1s\n");
  EXPECT_EQ(this->cause(),
            "it is not over in these logs; step 0 waited 3.1s for its start: "
            "h1 took the leader's role over and knew all runs after 3.4s");
}

// Guards against blaming the task when all of its failed runs were on one
// worker.
TEST_F(ExplainTest, FailuresOnOneWorkerPointToTheWorker) {
  std::string Ended = "2026-01-01T00:00:12.000000Z info scheduler \"run "
                      "ended\" job=" +
                      Id + " worker=w1 outcome=failed\n";
  this->add("h1",
            Ended + Ended +
                "2026-01-01T00:00:14.000000Z info scheduler \"job is over\" "
                "job=" +
                Id + " state=failed reason=\"task failed 2 times\"\n");
  EXPECT_EQ(this->cause(), "task failed 2 times; all of its failed runs were "
                           "on worker w1, which points to the worker");
}

// Guards against a cause for an id that is in no log.
TEST_F(ExplainTest, UnknownIdIsReported) {
  this->add("h1", "");
  EXPECT_EQ(this->cause(), "no line names this id");
}
