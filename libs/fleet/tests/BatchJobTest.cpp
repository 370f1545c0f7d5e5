#include "base/ErrorKind.h"
#include "fleet/BatchJobCodec.h"

#include <gtest/gtest.h>

using namespace vanillayard;

static BatchJob sampleJob() {
  BatchJob Job;
  Job.Id = JobId("5c0e7a21d94b36f8");
  Job.Queue = "cut-sheet";
  Job.Account = ClientAccountId("windhoek");
  Job.WorkerPool = "renders";
  Job.Priority = 1;
  Job.MaxAttempts = 4;
  Job.Stretch = 3.0;
  Job.TargetLatency = absl::Seconds(1);
  Job.Submitted = absl::FromUnixMillis(1700000000123);
  Job.Specification = "panel \"A\"\n";
  BatchStep First;
  First.TaskCount = 2;
  First.PerTask = {500, 256, 1};
  First.Estimate = absl::Milliseconds(900);
  First.DataRack = RackId("r1-3");
  BatchStep Second;
  Second.TaskCount = 3;
  Second.PerTask = {2000, 1024, 2};
  Second.Estimate = absl::Seconds(7);
  Second.DependsOn = {0};
  Second.IsCheckpointing = true;
  Second.IsGang = true;
  Second.PrefersSameRack = true;
  Second.RequiredLabel = "a";
  Second.MaxPerWorker = 2;
  Second.AllowsDuplicates = true;
  Job.Steps = {First, Second};
  Job.Schedule = {4, absl::FromUnixMillis(1700000005000), absl::Seconds(3)};
  return Job;
}

// Guards against a field that is not encoded: after a change of leader, the job
// would run with that field's default.
TEST(BatchJobTest, RecordKeepsEveryField) {
  BatchJob Job = sampleJob();
  absl::StatusOr<BatchJob> Read = decodeBatchJob(encodeBatchJob(Job));
  ASSERT_TRUE(Read.ok()) << Read.status();
  EXPECT_EQ(encodeBatchJob(*Read), encodeBatchJob(Job));
  EXPECT_EQ(Read->Specification, Job.Specification);
  EXPECT_EQ(Read->Steps[1].MaxPerWorker, 2);
  EXPECT_TRUE(Read->Steps[1].AllowsDuplicates);
  EXPECT_EQ(Read->Schedule.FirstDue, Job.Schedule.FirstDue);
}

TEST(BatchJobTest, UnreadableRecordIsAnError) {
  EXPECT_FALSE(decodeBatchJob("").ok());
  EXPECT_FALSE(decodeBatchJob("[]").ok());
  EXPECT_FALSE(decodeBatchJob("{\"id\":3}").ok());
}

// Guards against a latency objective that counts parallel steps one after the
// other.
TEST(BatchJobTest, LongestChainFollowsDependencies) {
  BatchJob Job = sampleJob();
  EXPECT_EQ(Job.criticalPathDuration(), absl::Milliseconds(7900));
  Job.Steps[1].DependsOn.clear();
  EXPECT_EQ(Job.criticalPathDuration(), absl::Seconds(7));
}

TEST(BatchJobTest, OccurrencesAreDueAtTheirTimes) {
  BatchJob Job = sampleJob();
  EXPECT_EQ(Job.occurrenceCount(), 4);
  EXPECT_EQ(Job.dueTime(2), Job.Schedule.FirstDue + 2 * Job.Schedule.Interval);
  Job.Schedule.Count = 0;
  EXPECT_EQ(Job.occurrenceCount(), 1);
  EXPECT_EQ(Job.dueTime(0), absl::InfinitePast());
}

struct InvalidJob {
  const char *Name;
  void (*Invalidate)(BatchJob &Job);
};

class InvalidJobTest : public testing::TestWithParam<InvalidJob> {};

// Guards against an invalid job that is accepted and reaches the scheduler.
TEST_P(InvalidJobTest, IsInvalid) {
  BatchJob Job = sampleJob();
  ASSERT_TRUE(validate(Job).ok());
  GetParam().Invalidate(Job);
  EXPECT_EQ(errorKindOf(validate(Job)), ErrorKind::InvalidRequest);
}

INSTANTIATE_TEST_SUITE_P(
    Fields, InvalidJobTest,
    testing::Values(
        InvalidJob{"id", [](BatchJob &J) { J.Id = JobId(); }},
        InvalidJob{"no_steps", [](BatchJob &J) { J.Steps.clear(); }},
        InvalidJob{"many_steps", [](BatchJob &J) { J.Steps.resize(65); }},
        InvalidJob{"no_tasks", [](BatchJob &J) { J.Steps[0].TaskCount = 0; }},
        InvalidJob{"many_tasks",
                   [](BatchJob &J) { J.Steps[0].TaskCount = 5000; }},
        InvalidJob{"cpu",
                   [](BatchJob &J) { J.Steps[0].PerTask.MilliCores = -1; }},
        InvalidJob{"accelerators",
                   [](BatchJob &J) {
                     J.Steps[0].PerTask.Accelerators = int64_t(1) << 62;
                   }},
        InvalidJob{"tasks_of_all_occurrences",
                   [](BatchJob &J) {
                     J.Steps[0].TaskCount = 4096;
                     J.Schedule.Count = 1024;
                   }},
        InvalidJob{"long_estimate",
                   [](BatchJob &J) {
                     J.Steps[0].Estimate = absl::InfiniteDuration();
                   }},
        InvalidJob{"after_itself",
                   [](BatchJob &J) { J.Steps[1].DependsOn = {1}; }},
        InvalidJob{"after_later",
                   [](BatchJob &J) { J.Steps[0].DependsOn = {1}; }},
        InvalidJob{"after_negative",
                   [](BatchJob &J) { J.Steps[1].DependsOn = {-1}; }},
        InvalidJob{
            "estimate",
            [](BatchJob &J) { J.Steps[0].Estimate = -absl::Seconds(1); }},
        InvalidJob{"occurrences", [](BatchJob &J) { J.Schedule.Count = 5000; }},
        InvalidJob{"specification",
                   [](BatchJob &J) { J.Specification.assign(4001, 'x'); }}),
    [](const auto &Info) { return std::string(Info.param.Name); });

// Guards against accepting a job that never runs, so that the caller would wait
// for ever.
TEST(BatchJobTest, UnsupportedStepsAreRefused) {
  BatchJob Job = sampleJob();
  Job.Steps[1].IsLongRunning = true;
  EXPECT_EQ(errorKindOf(validate(Job)), ErrorKind::Unsupported);
  Job = sampleJob();
  Job.Steps[0].UsesIdleCapacity = true;
  EXPECT_EQ(errorKindOf(validate(Job)), ErrorKind::Unsupported);
}
