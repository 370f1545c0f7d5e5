#include "ControlWorld.h"
#include "base/ErrorKind.h"
#include "control/RecordKeys.h"

#include <gtest/gtest.h>

using namespace vanillayard;
using Fault = FakeCoordinationStore::Fault;

static const std::string Id = "5c0e7a21d94b36f8";

class CallerDeskTest : public testing::Test {
protected:
  CallerDeskTest()
      : Desk(World.Exec, World.Store, World.Events, World.Figures) {
    this->Desk.configurationChanged(this->World.Table);
  }

  /// Submits with one call; nothing if there is no answer in time.
  std::optional<absl::Status> submit(const CallerIdentity &Caller,
                                     absl::Duration Time = absl::Seconds(3)) {
    auto Answer = std::make_shared<std::optional<absl::Status>>();
    this->Desk.submit(Caller, this->World.job(1, 1),
                      [Answer](absl::Status Status) { *Answer = Status; });
    this->World.run(Time);
    return *Answer;
  }

  ControlWorld World;
  CallerDesk Desk;
};

TEST_F(CallerDeskTest, AcceptedJobIsInTheStore) {
  EXPECT_TRUE(this->submit(this->World.caller(Id))->ok());
  EXPECT_TRUE(this->World.Store.has(RecordKeys::job(JobId(Id))));
  EXPECT_TRUE(this->World.Store.has(RecordKeys::progress(JobId(Id))));
}

// The same submission arrives again after a lost answer; it stays one job.
TEST_F(CallerDeskTest, RepeatedSubmissionIsAcceptedOnce) {
  EXPECT_TRUE(this->submit(this->World.caller(Id))->ok());
  std::string Record = this->World.Store.value(RecordKeys::job(JobId(Id)));
  EXPECT_TRUE(this->submit(this->World.caller(Id))->ok());
  EXPECT_EQ(this->World.Store.value(RecordKeys::job(JobId(Id))), Record);
}

TEST_F(CallerDeskTest, LostAnswerOfTheStoreIsNoRefusal) {
  int Commits = 0;
  this->World.Store.Faults = [&](const std::string &Call) {
    return Call == "commit" && ++Commits == 1 ? Fault::LoseAnswer : Fault::None;
  };
  EXPECT_TRUE(this->submit(this->World.caller(Id))->ok());
}

// "Not accepted" would be untrue while a write may still be carried out.
TEST_F(CallerDeskTest, WriteWithoutAnswerEndsAsUnknown) {
  this->World.Store.Faults = [](const std::string &) {
    return Fault::ApplyLate;
  };
  std::optional<absl::Status> Answer = this->submit(this->World.caller(Id));
  ASSERT_TRUE(Answer.has_value());
  EXPECT_EQ(errorKindOf(*Answer), ErrorKind::OutcomeUnknown);
}

TEST_F(CallerDeskTest, StoreThatRefusesLeadsToAnEarlyRefusal) {
  this->World.Store.Faults = [](const std::string &) { return Fault::Refuse; };
  std::optional<absl::Status> Answer =
      this->submit(this->World.caller(Id), absl::Seconds(1));
  ASSERT_TRUE(Answer.has_value());
  EXPECT_EQ(errorKindOf(*Answer), ErrorKind::PlatformUnavailable);
  EXPECT_GT(retryAfterOf(*Answer), absl::ZeroDuration());
  EXPECT_FALSE(this->World.Store.has(RecordKeys::job(JobId(Id))));
}

TEST_F(CallerDeskTest, CallsThatTheConfigurationDoesNotAllow) {
  CallerIdentity Caller = this->World.caller(Id);
  Caller.ApiKey = "other";
  EXPECT_EQ(errorKindOf(*this->submit(Caller)), ErrorKind::Unauthenticated);
  Caller = this->World.caller(Id);
  Caller.Path = "/elsewhere/" + Id;
  EXPECT_EQ(errorKindOf(*this->submit(Caller)), ErrorKind::NotFound);
  Caller = this->World.caller("not-an-id");
  EXPECT_EQ(errorKindOf(*this->submit(Caller)), ErrorKind::InvalidRequest);
  CallerDesk Fresh(this->World.Exec, this->World.Store, this->World.Events,
                   this->World.Figures);
  Fresh.submit(this->World.caller(Id), this->World.job(1, 1),
               [](absl::Status Status) {
                 EXPECT_EQ(errorKindOf(Status), ErrorKind::NotReady);
               });
}

TEST_F(CallerDeskTest, UnknownJobIsGone) {
  ControlWorld::HostNode Node;
  Node.Desk =
      std::make_unique<CallerDesk>(this->World.Exec, this->World.Store,
                                   this->World.Events, this->World.Figures);
  Node.Desk->configurationChanged(this->World.Table);
  EXPECT_EQ(errorKindOf(this->World.state(Node, Id).status()), ErrorKind::Gone);
  this->World.cancel(Node, Id);
  this->World.run(absl::Seconds(1));
  EXPECT_EQ(errorKindOf(this->World.CancelAnswers[Id]), ErrorKind::Gone);
  this->World.submit(Node, Id, this->World.job(1, 1));
  this->World.run(absl::Seconds(1));
  EXPECT_EQ(*this->World.state(Node, Id), BatchState::Queued);
  this->World.cancel(Node, Id);
  this->World.run(absl::Seconds(1));
  EXPECT_TRUE(this->World.CancelAnswers[Id].ok());
  EXPECT_TRUE(this->World.Store.has(RecordKeys::cancel(JobId(Id))));
}

TEST_F(CallerDeskTest, QueueAndJobAreToldApart) {
  EXPECT_TRUE(this->Desk.namesQueue(this->World.caller("")));
  EXPECT_FALSE(this->Desk.namesQueue(this->World.caller(Id)));
}

TEST_F(CallerDeskTest, LargeRequestIsRefusedBeforeItIsRead) {
  EXPECT_TRUE(this->Desk.admit(this->World.caller(Id), 100, 100).ok());
  EXPECT_EQ(errorKindOf(this->Desk.admit(this->World.caller(Id), 100, 1 << 19)),
            ErrorKind::PayloadTooLarge);
  EXPECT_EQ(errorKindOf(this->Desk.admit(this->World.caller(Id), 1 << 15, 100)),
            ErrorKind::HeadersTooLarge);
}

// Guards against answers that the store's outcome is unknown although it would
// have been known in time.
TEST_F(CallerDeskTest, ShortDeadlineLeavesTimeForTheStore) {
  CallerIdentity Caller = this->World.caller(Id);
  Caller.Deadline = absl::Milliseconds(100);
  std::optional<absl::Status> Answer = this->submit(Caller);
  ASSERT_TRUE(Answer.has_value());
  EXPECT_TRUE(Answer->ok()) << *Answer;
}

// Guards against callers that wait although it is known that they cannot be
// served, and against a refusal of everybody over a moment's failure.
TEST_F(CallerDeskTest, KnownOutageIsRefusedAtOnce) {
  this->World.Store.Faults = [](const std::string &) { return Fault::Refuse; };
  EXPECT_FALSE(
      this->submit(this->World.caller(Id), absl::Milliseconds(100)).has_value())
      << "the first failure may be over in a moment";
  this->World.run(absl::Seconds(1));
  std::optional<absl::Status> Answer =
      this->submit(this->World.caller(Id), absl::Milliseconds(50));
  ASSERT_TRUE(Answer.has_value());
  EXPECT_EQ(errorKindOf(*Answer), ErrorKind::PlatformUnavailable);
  EXPECT_GT(retryAfterOf(*Answer), absl::ZeroDuration());
  this->World.Store.Faults = nullptr;
  EXPECT_TRUE(this->submit(this->World.caller(Id))->ok());
}

// Guards against holding a caller who waits for less than the usual patience.
TEST_F(CallerDeskTest, PatienceIsAShareOfAShortDeadline) {
  this->World.Store.Faults = [](const std::string &) { return Fault::Refuse; };
  CallerIdentity Caller = this->World.caller(Id);
  Caller.Deadline = absl::Milliseconds(400);
  std::optional<absl::Status> Answer =
      this->submit(Caller, absl::Milliseconds(150));
  ASSERT_TRUE(Answer.has_value());
  EXPECT_EQ(errorKindOf(*Answer), ErrorKind::PlatformUnavailable);
}
