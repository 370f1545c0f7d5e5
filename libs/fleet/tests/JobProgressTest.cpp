#include "fleet/JobProgressCodec.h"

#include <gtest/gtest.h>

using namespace vanillayard;

static BatchJob twoStepJob() {
  BatchJob Job;
  Job.Id = JobId("5c0e7a21d94b36f8");
  Job.Queue = "cut-sheet";
  Job.Steps.resize(2);
  Job.Steps[0].TaskCount = 2;
  Job.Steps[1].TaskCount = 3;
  Job.Schedule.Count = 2;
  return Job;
}

// Guards against progress that is not encoded: the next leader would run done
// tasks again, or restart the count of failed runs.
TEST(JobProgressTest, RecordKeepsDoneFailuresAndCheckpoints) {
  BatchJob Job = twoStepJob();
  JobProgress Progress(Job);
  Progress.State = BatchState::Running;
  Progress.task(0, 1, 2).IsDone = true;
  Progress.task(1, 0, 1) = {false, {70, 77}, "00000bb8"};
  JobProgress Read(Job);
  ASSERT_TRUE(decodeProgress(encodeProgress(Job, Progress), Read).ok());
  EXPECT_EQ(Read.State, BatchState::Running);
  EXPECT_EQ(Read.tasks(), Progress.tasks());
}

TEST(JobProgressTest, RecordKeepsPlacements) {
  BatchJob Job = twoStepJob();
  JobProgress Progress(Job);
  Progress.task(0, 1, 2).PlacedOn = WorkerId("w7");
  Progress.task(0, 1, 2).PlacedRun = 70;
  JobProgress Read(Job);
  ASSERT_TRUE(decodeProgress(encodeProgress(Job, Progress), Read).ok());
  EXPECT_EQ(Read.tasks(), Progress.tasks());
  EXPECT_TRUE(Read.ArePlacementsRecorded);
}

// Guards against a record of an earlier build that is taken for one of a job
// without runs.
TEST(JobProgressTest, RecordWithoutPlacementsSaysNothingAboutRuns) {
  BatchJob Job = twoStepJob();
  JobProgress Read(Job);
  ASSERT_TRUE(decodeProgress(R"({"state":"queued","queue":"q"})", Read).ok());
  EXPECT_FALSE(Read.ArePlacementsRecorded);
  EXPECT_FALSE(
      decodeProgress(R"({"state":"queued","queue":"q","placed":[[99,"w",1]]})",
                     Read)
          .ok());
}

TEST(JobProgressTest, SummaryIsReadWithoutTheJob) {
  BatchJob Job = twoStepJob();
  JobProgress Progress(Job);
  Progress.State = BatchState::Done;
  absl::StatusOr<ProgressSummary> Summary =
      decodeProgressSummary(encodeProgress(Job, Progress));
  ASSERT_TRUE(Summary.ok());
  EXPECT_EQ(Summary->State, BatchState::Done);
  EXPECT_EQ(Summary->Queue, "cut-sheet");
}

TEST(JobProgressTest, MalformedRecordIsAnError) {
  JobProgress Progress(twoStepJob());
  EXPECT_FALSE(decodeProgress("{}", Progress).ok());
  EXPECT_FALSE(
      decodeProgress(R"({"state":"running","queue":"q","done":"01"})", Progress)
          .ok());
  EXPECT_FALSE(
      decodeProgress(R"({"state":"running","queue":"q","tasks":[[99,[1],""]]})",
                     Progress)
          .ok());
  EXPECT_FALSE(
      decodeProgressSummary(R"({"state":"unheard-of","queue":"q"})").ok());
}

TEST(JobProgressTest, ContainsOnlyTheJobsTasks) {
  JobProgress Progress(twoStepJob());
  EXPECT_TRUE(Progress.contains(1, 1, 2));
  EXPECT_FALSE(Progress.contains(2, 0, 0));
  EXPECT_FALSE(Progress.contains(0, 2, 0));
  EXPECT_FALSE(Progress.contains(0, 0, 2));
  EXPECT_FALSE(Progress.contains(0, -1, 0));
}
