#include "JobsSimulation.h"
#include "base/ErrorKind.h"
#include "placement/CellTable.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

using namespace vanillayard;

class JobServiceTest : public testing::Test {
protected:
  JobsSimulation Sim{1, 2, 1};
  JobService &Jobs = *this->Sim.Hosts[0].Jobs;
  FakeStore &Store = *this->Sim.Hosts[0].Store;
  JobSpec Spec = JobsSimulation::makeSpec("big", 1, 1, absl::Seconds(2), false);
  std::vector<absl::StatusOr<StoredJob>> Answers;

  JobService::Callback<StoredJob> collect() {
    return [this](auto Answer) { this->Answers.push_back(std::move(Answer)); };
  }
  void submit(const JobSpec &Wanted, const std::string &Key) {
    this->Jobs.submit(Wanted, Key, this->collect());
    this->Sim.runFor(absl::Seconds(4));
  }
  ErrorKind lastError() const {
    EXPECT_FALSE(this->Answers.back().ok());
    return errorKindOf(this->Answers.back().status());
  }
};

// Guards against a second job for a retried submission, and against a reused
// key that returns the job of another submission without an error.
TEST_F(JobServiceTest, RetryFindsTheSameJob) {
  this->submit(this->Spec, "k");
  this->Store.loseAnswers(1);
  this->submit(this->Spec, "k");
  ASSERT_TRUE(this->Answers[0].ok() && this->Answers[1].ok());
  EXPECT_EQ(this->Answers[0]->Record.Id, this->Answers[1]->Record.Id);
  EXPECT_EQ(this->Answers[0]->ModRevision, this->Answers[1]->ModRevision);
  this->Spec.Shape.Members = 2;
  this->submit(this->Spec, "k");
  EXPECT_EQ(this->lastError(), ErrorKind::KeyReused);
  this->Store.loseAnswers(1);
  this->submit(this->Spec, "other");
  EXPECT_TRUE(this->Answers.back().ok()) << "the record was read again";
}

// Guards against a body within its limit whose record the store refuses, as
// JSON escapes control characters.
TEST_F(JobServiceTest, BodyThatGrowsInTheRecordIsRefused) {
  this->Spec.Body = std::string(200 << 10, '\x01');
  this->submit(this->Spec, "k");
  EXPECT_EQ(this->lastError(), ErrorKind::PayloadTooLarge);
  this->Spec.Body = std::string(200 << 10, 'a');
  this->submit(this->Spec, "l");
  EXPECT_TRUE(this->Answers.back().ok());
}

// Guards against answering "not run" for a job whose write may still take
// effect (guarantee G4).
TEST_F(JobServiceTest, NotRunIsReportedOnlyIfNothingWasWritten) {
  this->Store.setDown(true);
  this->submit(this->Spec, "down");
  EXPECT_EQ(this->lastError(), ErrorKind::PlatformUnavailable);
  this->Store.setDown(false);
  this->Store.loseAnswers(3);
  this->submit(this->Spec, "lost");
  EXPECT_EQ(this->lastError(), ErrorKind::OutcomeUnknown);
  EXPECT_FALSE(isProvablyNotRun(this->Answers.back().status()));
}

// Guards against accepting a job with an unknown account or kind, without
// members, or with more accelerators a member than a worker has.
TEST_F(JobServiceTest, RefusesInvalidSpecs) {
  JobSpec Bad = this->Spec;
  Bad.Account = ClientAccountId("nobody");
  this->submit(Bad, "a");
  EXPECT_EQ(this->lastError(), ErrorKind::UnknownAccount);
  Bad = this->Spec;
  Bad.Kind = KindOfWorkId("none");
  this->submit(Bad, "b");
  EXPECT_EQ(this->lastError(), ErrorKind::UnknownKind);
  Bad = this->Spec;
  Bad.Shape.Members = 0;
  this->submit(Bad, "c");
  EXPECT_EQ(this->lastError(), ErrorKind::InvalidRequest);
  Bad = this->Spec;
  Bad.Shape.AcceleratorsPerMember = MaxAcceleratorsPerWorker + 1;
  this->submit(Bad, "d");
  EXPECT_EQ(this->lastError(), ErrorKind::NeverFits);
}

// Guards against a get() that does not answer soon after the end of the job,
// that misses the end because its watch fails silently, or that finds an id
// that does not exist.
TEST_F(JobServiceTest, WaitEndsWithTheJobOrTheLimit) {
  this->Sim.Hosts[0].Planner->setActive(true);
  JobId Id = this->Sim.submit(this->Spec, "w");
  this->Sim.runFor(absl::Milliseconds(100));
  absl::Time Since = this->Sim.Exec.now();
  absl::Time Answered;
  this->Jobs.get(Id, absl::Seconds(60), [&](auto Answer) {
    this->Answers.push_back(std::move(Answer));
    Answered = this->Sim.Exec.now();
  });
  this->Sim.runFor(absl::Seconds(10));
  ASSERT_EQ(this->Answers.size(), 1u);
  EXPECT_EQ(this->Answers[0]->Record.State, JobState::Finished);
  EXPECT_LT(Answered - Since, absl::Seconds(5));

  this->Store.setWatchesSilent(true);
  Id = this->Sim.submit(this->Spec, "x");
  this->Sim.runFor(absl::Milliseconds(100));
  this->Jobs.get(Id, absl::Seconds(6), this->collect());
  this->Sim.runFor(absl::Seconds(7));
  ASSERT_EQ(this->Answers.size(), 2u);
  EXPECT_EQ(this->Answers[1]->Record.State, JobState::Finished);
  this->Jobs.get(JobId("job-none"), absl::ZeroDuration(), this->collect());
  this->Sim.runFor(absl::Seconds(1));
  EXPECT_EQ(this->lastError(), ErrorKind::NotFound);
}

// Guards against a planner that crashes on records that a newer or faulty
// writer has stored, and against fields that encoding and decoding lose.
TEST(JobRecordTest, RoundTripsAndRefusesOtherText) {
  JobRecord Record;
  Record.Id = JobId("job-1");
  Record.Spec = JobsSimulation::makeSpec("big", 2, 4, absl::Seconds(3), true);
  Record.Spec.Body = std::string("\xff\x00 body", 7);
  Record.State = JobState::Placed;
  Record.Submitted = absl::FromUnixMillis(1234567);
  Record.Placement = {
      {WorkerId("w"), Endpoint("1.2.3.4:5"), LeaseId("l"), {0, 1}}};
  Record.Results = {"x"};
  auto Decoded = JobRecord::decode(Record.encode());
  ASSERT_TRUE(Decoded.ok());
  EXPECT_EQ(Decoded->encode(), Record.encode());
  EXPECT_EQ(Decoded->Placement, Record.Placement);
  for (const char *Text : {"", "{}", "[1]", "{\"id\":7}", "nonsense"})
    EXPECT_FALSE(JobRecord::decode(Text).ok()) << Text;
}
