#include "SimulatedCluster.h"
#include "base/ErrorKind.h"
#include "control/RecordKeys.h"

#include <gtest/gtest.h>

using namespace vanillayard;
using Fault = FakeCoordinationStore::Fault;

static const std::string Id = "5c0e7a21d94b36f8";

class QueueJobServiceTest : public testing::Test {
protected:
  QueueJobServiceTest()
      : QueueJobs(Cluster.Exec, Cluster.Store, Cluster.Events,
                  Cluster.MetricRegistry) {
    this->QueueJobs.configurationChanged(this->Cluster.Table);
  }

  /// Submits a job and returns the answer, or nothing if none came in \p Time.
  std::optional<absl::Status> submit(const CallContext &Caller,
                                     absl::Duration Time = absl::Seconds(3)) {
    auto Answer = std::make_shared<std::optional<absl::Status>>();
    this->QueueJobs.submit(Caller, this->Cluster.job(1, 1),
                           [Answer](absl::Status Status) { *Answer = Status; });
    this->Cluster.runFor(Time);
    return *Answer;
  }

  SimulatedCluster Cluster;
  QueueJobService QueueJobs;
};

TEST_F(QueueJobServiceTest, AcceptedJobIsInTheStore) {
  EXPECT_TRUE(this->submit(this->Cluster.caller(Id))->ok());
  EXPECT_TRUE(this->Cluster.Store.has(RecordKeys::job(JobId(Id))));
  EXPECT_TRUE(this->Cluster.Store.has(RecordKeys::progress(JobId(Id))));
}

// Guards against a second job when a caller repeats a submission whose answer
// was lost.
TEST_F(QueueJobServiceTest, RepeatedSubmissionIsAcceptedOnce) {
  EXPECT_TRUE(this->submit(this->Cluster.caller(Id))->ok());
  std::string Record = this->Cluster.Store.value(RecordKeys::job(JobId(Id)));
  EXPECT_TRUE(this->submit(this->Cluster.caller(Id))->ok());
  EXPECT_EQ(this->Cluster.Store.value(RecordKeys::job(JobId(Id))), Record);
}

// Guards against refusing a job whose record the store wrote without the answer
// reaching the host.
TEST_F(QueueJobServiceTest, LostAnswerOfTheStoreIsNoRefusal) {
  int Commits = 0;
  this->Cluster.Store.Faults = [&](const std::string &Call) {
    return Call == "commit" && ++Commits == 1 ? Fault::LoseAnswer : Fault::None;
  };
  EXPECT_TRUE(this->submit(this->Cluster.caller(Id))->ok());
}

// Guards against telling the caller that the job was not accepted while the
// store may still apply the write.
TEST_F(QueueJobServiceTest, WriteWithoutAnswerEndsAsUnknown) {
  this->Cluster.Store.Faults = [](const std::string &) {
    return Fault::ApplyLate;
  };
  std::optional<absl::Status> Answer = this->submit(this->Cluster.caller(Id));
  ASSERT_TRUE(Answer.has_value());
  EXPECT_EQ(errorKindOf(*Answer), ErrorKind::OutcomeUnknown);
}

TEST_F(QueueJobServiceTest, StoreThatRefusesLeadsToAnEarlyRefusal) {
  this->Cluster.Store.Faults = [](const std::string &) {
    return Fault::Refuse;
  };
  std::optional<absl::Status> Answer =
      this->submit(this->Cluster.caller(Id), absl::Seconds(1));
  ASSERT_TRUE(Answer.has_value());
  EXPECT_EQ(errorKindOf(*Answer), ErrorKind::PlatformUnavailable);
  EXPECT_GT(retryAfterOf(*Answer), absl::ZeroDuration());
  EXPECT_FALSE(this->Cluster.Store.has(RecordKeys::job(JobId(Id))));
}

TEST_F(QueueJobServiceTest, CallsThatTheConfigurationDoesNotAllowFail) {
  CallContext Caller = this->Cluster.caller(Id);
  Caller.ApiKey = "other";
  EXPECT_EQ(errorKindOf(*this->submit(Caller)), ErrorKind::Unauthenticated);
  Caller = this->Cluster.caller(Id);
  Caller.Path = "/elsewhere/" + Id;
  EXPECT_EQ(errorKindOf(*this->submit(Caller)), ErrorKind::NotFound);
  Caller = this->Cluster.caller("not-an-id");
  EXPECT_EQ(errorKindOf(*this->submit(Caller)), ErrorKind::InvalidRequest);
  QueueJobService Fresh(this->Cluster.Exec, this->Cluster.Store,
                        this->Cluster.Events, this->Cluster.MetricRegistry);
  Fresh.submit(this->Cluster.caller(Id), this->Cluster.job(1, 1),
               [](absl::Status Status) {
                 EXPECT_EQ(errorKindOf(Status), ErrorKind::NotReady);
               });
}

TEST_F(QueueJobServiceTest, UnknownJobIsGone) {
  SimulatedCluster::HostNode Node;
  Node.QueueJobs = std::make_unique<QueueJobService>(
      this->Cluster.Exec, this->Cluster.Store, this->Cluster.Events,
      this->Cluster.MetricRegistry);
  Node.QueueJobs->configurationChanged(this->Cluster.Table);
  EXPECT_EQ(errorKindOf(this->Cluster.state(Node, Id).status()),
            ErrorKind::Gone);
  this->Cluster.cancel(Node, Id);
  this->Cluster.runFor(absl::Seconds(1));
  EXPECT_EQ(errorKindOf(this->Cluster.CancelAnswers[Id]), ErrorKind::Gone);
  this->Cluster.submit(Node, Id, this->Cluster.job(1, 1));
  this->Cluster.runFor(absl::Seconds(1));
  EXPECT_EQ(*this->Cluster.state(Node, Id), BatchState::Queued);
  this->Cluster.cancel(Node, Id);
  this->Cluster.runFor(absl::Seconds(1));
  EXPECT_TRUE(this->Cluster.CancelAnswers[Id].ok());
  EXPECT_TRUE(this->Cluster.Store.has(RecordKeys::cancel(JobId(Id))));
}

TEST_F(QueueJobServiceTest, QueuePathIsDistinguishedFromJobPath) {
  EXPECT_TRUE(this->QueueJobs.isQueuePath(this->Cluster.caller("")));
  EXPECT_FALSE(this->QueueJobs.isQueuePath(this->Cluster.caller(Id)));
}

TEST_F(QueueJobServiceTest, LargeRequestIsRefusedBeforeItIsRead) {
  EXPECT_TRUE(
      this->QueueJobs.checkSubmission(this->Cluster.caller(Id), 100, 100).ok());
  EXPECT_EQ(errorKindOf(this->QueueJobs.checkSubmission(
                this->Cluster.caller(Id), 100, 1 << 19)),
            ErrorKind::PayloadTooLarge);
  EXPECT_EQ(errorKindOf(this->QueueJobs.checkSubmission(
                this->Cluster.caller(Id), 1 << 15, 100)),
            ErrorKind::HeadersTooLarge);
}

// Guards against answering OutcomeUnknown when the store would have answered
// before the caller's deadline.
TEST_F(QueueJobServiceTest, ShortDeadlineLeavesTimeForTheStore) {
  CallContext Caller = this->Cluster.caller(Id);
  Caller.Deadline = absl::Milliseconds(100);
  std::optional<absl::Status> Answer = this->submit(Caller);
  ASSERT_TRUE(Answer.has_value());
  EXPECT_TRUE(Answer->ok()) << *Answer;
}

// Guards against holding callers while the store is known to be unavailable,
// and against refusing every caller after a single failed store call.
TEST_F(QueueJobServiceTest, KnownOutageIsRefusedAtOnce) {
  this->Cluster.Store.Faults = [](const std::string &) {
    return Fault::Refuse;
  };
  EXPECT_FALSE(this->submit(this->Cluster.caller(Id), absl::Milliseconds(100))
                   .has_value())
      << "the first failed store call may be transient";
  this->Cluster.runFor(absl::Seconds(1));
  std::optional<absl::Status> Answer =
      this->submit(this->Cluster.caller(Id), absl::Milliseconds(50));
  ASSERT_TRUE(Answer.has_value());
  EXPECT_EQ(errorKindOf(*Answer), ErrorKind::PlatformUnavailable);
  EXPECT_GT(retryAfterOf(*Answer), absl::ZeroDuration());
  this->Cluster.Store.Faults = nullptr;
  EXPECT_TRUE(this->submit(this->Cluster.caller(Id))->ok());
}

// Guards against retrying refused store calls for the usual time when the
// caller's deadline is shorter than that.
TEST_F(QueueJobServiceTest, RetryTimeIsAShareOfAShortDeadline) {
  this->Cluster.Store.Faults = [](const std::string &) {
    return Fault::Refuse;
  };
  CallContext Caller = this->Cluster.caller(Id);
  Caller.Deadline = absl::Milliseconds(400);
  std::optional<absl::Status> Answer =
      this->submit(Caller, absl::Milliseconds(150));
  ASSERT_TRUE(Answer.has_value());
  EXPECT_EQ(errorKindOf(*Answer), ErrorKind::PlatformUnavailable);
}
