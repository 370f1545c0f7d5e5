#include "../src/WorkerLeaseBound.h"

#include <gtest/gtest.h>

using namespace vanillayard;

static constexpr absl::Duration Longest = absl::Milliseconds(9800);
static const absl::Time Start = absl::FromUnixSeconds(1000);

static absl::Time at(double Seconds) {
  return Start + absl::Milliseconds(1000) * Seconds;
}

class WorkerLeaseBoundTest : public testing::Test {
protected:
  /// A call sent at \p SentAt, with a lease of 6 s and a timeout of 1 s.
  WorkerLeaseBound::CallId send(double SentAt) {
    return this->Bound.callSent(at(SentAt + 6), at(SentAt), at(SentAt + 1));
  }

  WorkerLeaseBound Bound{Longest, Start};
};

TEST_F(WorkerLeaseBoundTest, CallsToAnIncarnationThatGoesOnKeepTheirLease) {
  this->Bound.answeredByTarget(this->send(0));
  this->send(1);
  this->Bound.unanswered(this->send(2));
  EXPECT_EQ(this->Bound.endsBy(), at(8));
}

TEST_F(WorkerLeaseBoundTest, LaterIncarnationGrantsTheLongestLease) {
  this->Bound.answeredByLaterIncarnation(this->send(0), at(0.5));
  EXPECT_EQ(this->Bound.endsBy(), at(10.5));
}

TEST_F(WorkerLeaseBoundTest, CallInFlightAtARestartMayReachTheNextIncarnation) {
  WorkerLeaseBound::CallId Call = this->send(0);
  this->Bound.incarnationEnded();
  EXPECT_EQ(this->Bound.endsBy(), at(11));
  // The answer shows who has received it.
  this->Bound.answeredByTarget(Call);
  EXPECT_EQ(this->Bound.endsBy(), at(6));
}

TEST_F(WorkerLeaseBoundTest, UnansweredCallMayBeCarriedOutLateAfterARestart) {
  this->Bound.unanswered(this->send(0));
  this->Bound.incarnationEnded();
  EXPECT_EQ(this->Bound.endsBy(), at(23));
}

TEST_F(WorkerLeaseBoundTest, CallLostAfterARestartMayBeCarriedOutLate) {
  WorkerLeaseBound::CallId Call = this->send(0);
  this->Bound.incarnationEnded();
  this->Bound.unanswered(Call);
  EXPECT_EQ(this->Bound.endsBy(), at(23));
}

TEST_F(WorkerLeaseBoundTest, AnswerOfTheIncarnationConfirmsEarlierCalls) {
  this->Bound.unanswered(this->send(0));
  this->Bound.incarnationConfirmed(at(1));
  this->Bound.incarnationEnded();
  EXPECT_EQ(this->Bound.endsBy(), at(6));
}

TEST_F(WorkerLeaseBoundTest, AnswerToAnEarlierCallConfirmsNothing) {
  this->Bound.unanswered(this->send(0));
  this->Bound.incarnationConfirmed(at(0.9));
  this->Bound.incarnationEnded();
  EXPECT_EQ(this->Bound.endsBy(), at(23));
}
